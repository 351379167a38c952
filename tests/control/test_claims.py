"""Claims on three control instances as real processes."""

import threading

from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module

Verdict = ttypes.ClaimVerdict
wait_until = cluster_module.wait_until


def test_the_same_claim_at_two_nodes_at_once(cluster):
    """One owner is granted; the others join it and get its answer."""
    for number in range(20):
        request_id = checks.new_request_id(number)
        answers = {}

        def claim(node, port, request_id=request_id, answers=answers):
            answers[node] = calls.call(
                port, "claim", calls.make_claim(request_id, node, node)
            )

        threads = [
            threading.Thread(target=claim, args=(f"n{place}", one.port))
            for place, one in enumerate(cluster.instances)
        ]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
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
    calls.call(port, "settle", calls.make_settle(request_id, owner, owner))
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


def test_claims_across_a_kill_9_of_the_leader(cluster):
    """A grant whose answer was lost is given again, to its claim only."""
    leader = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not leader]
    request_id = checks.new_request_id(500)
    mine = calls.make_claim(request_id, "n1", "mine")
    threading.Timer(0.005, leader.kill).start()
    calls.try_call(leader.port, "claim", mine, timeout_s=2.0)
    wait_until(lambda: leader.process.poll() is not None)

    def ask(claim):
        def once():
            answer = calls.try_call(others[0].port, "claim", claim)
            if answer is None or answer.verdict == Verdict.UNAVAILABLE:
                return None
            return answer

        return wait_until(once)

    assert ask(mine).verdict == Verdict.GRANTED
    theirs = calls.make_claim(request_id, "n2", "theirs")
    assert ask(theirs).verdict == Verdict.RUNNING


def test_an_owner_that_crashed_or_froze_leaves_the_outcome_unknown(cluster):
    """Its lease ends, or it starts again: the call is never granted again."""
    leader = cluster.wait_for_leader()
    port = leader.port
    wait_until(lambda: checks.is_directory_complete(leader))
    crashed = checks.new_request_id(600)
    frozen = checks.new_request_id(601)
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
    late = calls.make_settle(frozen, "frozen", "first")
    answer = calls.call(port, "settle", late)
    assert answer.verdict == Verdict.UNKNOWN_OUTCOME
    status = leader.status()
    unknown = {one["request_id"] for one in status["unknown_outcomes"]}
    assert {crashed, frozen} <= unknown


def test_a_deaths_count_is_shared(cluster):
    for place, one in enumerate(cluster.instances):
        report = ttypes.SuspectReport(
            fingerprint="poison", endpoint_id=f"e{place}", incarnation=1
        )
        answer = calls.call(one.port, "report_suspect", report)
        assert answer.deaths == place + 1
    again = calls.call(cluster.instances[0].port, "report_suspect", report)
    assert again.deaths == 3
    asked = ttypes.SuspectReport(
        fingerprint="poison", endpoint_id="", incarnation=0
    )
    wait_until(
        lambda: (
            calls.call(
                cluster.instances[1].port, "report_suspect", asked
            ).deaths
            == 3
        )
    )
