"""Claims of once-only calls on three control instances.

Guards against a call that is granted to two nodes. That comes about when two
nodes claim it at once, when the leader dies before it answers a claim, or when
the owner restarts or stops sending heartbeats while the call runs.
"""

import threading

from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module

Verdict = ttypes.ClaimVerdict
wait_until = cluster_module.wait_until


def test_concurrent_claims_of_a_call_grant_it_to_one_node(cluster):
    """The nodes claim through different instances."""
    for number in range(20):
        request_id = checks.make_request_id(number)
        answers = {}

        def claim(node, port, request_id=request_id, answers=answers):
            answers[node] = calls.call(
                port, "claim", calls.make_claim(request_id, node, node)
            )

        threads = [
            threading.Thread(target=claim, args=(f"n{index}", instance.port))
            for index, instance in enumerate(cluster.instances)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        granted = [
            node
            for node, answer in answers.items()
            if answer.verdict == Verdict.GRANTED
        ]
        assert len(granted) == 1
        others = [node for node in answers if node != granted[0]]
        for node in others:
            assert answers[node].verdict == Verdict.RUNNING
            assert answers[node].owner == granted[0]
    port = cluster.instances[0].port
    owner = granted[0]
    calls.call(port, "settle", calls.make_settlement(request_id, owner, owner))
    joined = calls.call(
        port, "claim", calls.make_claim(request_id, others[0], "later")
    )
    assert (joined.verdict, joined.status, joined.body) == (
        Verdict.SETTLED,
        201,
        b"ok",
    )
    mismatch = calls.make_claim(request_id, owner, "x", body_digest="other")
    answer = calls.call(port, "claim", mismatch)
    assert answer.verdict == Verdict.DIGEST_MISMATCH


def test_claim_resent_after_the_leader_was_killed_is_granted_again(cluster):
    """The leader may die before or after the commit; other claims must wait."""
    leader = cluster.wait_for_leader()
    others = [other for other in cluster.instances if other is not leader]
    request_id = checks.make_request_id(500)
    lost_claim = calls.make_claim(request_id, "n1", "mine")
    threading.Timer(0.005, leader.kill).start()
    calls.try_call(leader.port, "claim", lost_claim, timeout_s=2.0)
    wait_until(lambda: leader.process.poll() is not None)

    def ask(claim):
        def find_answer():
            answer = calls.try_call(others[0].port, "claim", claim)
            if answer is None or answer.verdict == Verdict.UNAVAILABLE:
                return None
            return answer

        return wait_until(find_answer)

    assert ask(lost_claim).verdict == Verdict.GRANTED
    other_claim = calls.make_claim(request_id, "n2", "theirs")
    assert ask(other_claim).verdict == Verdict.RUNNING


def test_claim_of_a_restarted_or_expired_owner_has_an_unknown_outcome(cluster):
    """One owner restarts under a later incarnation; the other one's lease ends.

    The outcome stays unknown even if the owner settles the claim later.
    """
    leader = cluster.wait_for_leader()
    port = leader.port
    wait_until(lambda: checks.is_directory_complete(leader))
    crashed = checks.make_request_id(600)
    frozen = checks.make_request_id(601)
    for node, request_id in (("crashed", crashed), ("frozen", frozen)):
        calls.call(port, "heartbeat", calls.make_heartbeat(node))
        claim = calls.make_claim(request_id, node, "first")
        assert calls.call(port, "claim", claim).verdict == Verdict.GRANTED
    calls.call(port, "heartbeat", calls.make_heartbeat("crashed", 2))
    other = calls.make_claim(crashed, "n9", "n9")
    answer = calls.call(port, "claim", other)
    assert answer.verdict == Verdict.UNKNOWN_OUTCOME
    other = calls.make_claim(frozen, "n9", "n9")

    def ask():
        answer = calls.call(port, "claim", other)
        assert answer.verdict in (Verdict.RUNNING, Verdict.UNKNOWN_OUTCOME)
        return answer.verdict == Verdict.UNKNOWN_OUTCOME

    wait_until(ask)
    late = calls.make_settlement(frozen, "frozen", "first")
    answer = calls.call(port, "settle", late)
    assert answer.verdict == Verdict.UNKNOWN_OUTCOME
    status = leader.status()
    unknown = {entry["request_id"] for entry in status["unknown_outcomes"]}
    assert {crashed, frozen} <= unknown


def test_deaths_reported_to_all_instances_are_counted_once_each(cluster):
    for index, instance in enumerate(cluster.instances):
        report = ttypes.SuspectReport(
            fingerprint="poison", endpoint_id=f"e{index}", incarnation=1
        )
        answer = calls.call(instance.port, "report_suspect", report)
        assert answer.deaths == index + 1
    resent = calls.call(cluster.instances[0].port, "report_suspect", report)
    assert resent.deaths == 3
    read_only = ttypes.SuspectReport(
        fingerprint="poison", endpoint_id="", incarnation=0
    )
    wait_until(
        lambda: (
            calls.call(
                cluster.instances[1].port, "report_suspect", read_only
            ).deaths
            == 3
        )
    )
