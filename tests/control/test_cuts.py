"""Frozen and partitioned control instances serve no outdated state.

Guards against a leader that keeps vouching for its state or accepts a change
after its lease has expired: it was paused, or its peers no longer hear it,
while the others elected a new leader.
"""

import signal
import threading
import time

import pytest

from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module
from tests.decisions.claims import schedules

Verdict = ttypes.ClaimVerdict
wait_until = cluster_module.wait_until


def test_leader_resumed_after_its_lease_serves_and_accepts_nothing_stale(
    cluster,
):
    """Once resumed, it returns no older version and accepts no change."""
    frozen = cluster.wait_for_leader()
    others = [other for other in cluster.instances if other is not frozen]
    base = checks.get_version(cluster)
    frozen.send_signal(signal.SIGSTOP)
    answers = []
    pending_change = threading.Thread(
        target=lambda: answers.append(
            frozen.change(
                "to-frozen", base, checks.make_document("x"), timeout_s=8.0
            )
        )
    )
    pending_change.start()
    cluster.wait_for_leader(others)
    accepted = checks.change_until_answered(
        others, "after", base, checks.make_document("after")
    )
    assert accepted.status == 200
    frozen.send_signal(signal.SIGCONT)
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        answer = frozen.request("GET", "/v1/configuration", timeout_s=1.0)
        if answer is not None and answer.status == 200:
            assert answer.body["version"] > base
    pending_change.join()
    assert answers[0] is None or answers[0].status in (409, 503)
    checks.check_histories(cluster, ["after"], base)


def test_leader_without_quorum_stops_vouching_and_rejects_changes(cluster):
    """A change is rejected with a time to retry and never accepted later."""
    leader = cluster.wait_for_leader()
    others = [other for other in cluster.instances if other is not leader]
    base = checks.get_version(cluster)
    started = time.monotonic()
    for other in others:
        other.send_signal(signal.SIGSTOP)
    wait_until(lambda: not checks.is_vouching(leader))
    assert time.monotonic() - started < 2.0
    refused = leader.change("cut-off", base, checks.make_document("cut"))
    assert refused.status == 503
    assert refused.body["rejected"] is True
    assert int(refused.headers["Retry-After"]) >= 1
    assert leader.request("GET", "/v1/configuration").status == 503
    claim_answer = calls.call(
        leader.port,
        "claim",
        calls.make_claim(schedules.uuid7(int(time.time() * 1000), 77)),
    )
    assert claim_answer.verdict == Verdict.UNAVAILABLE
    assert claim_answer.retry_after_ms > 0
    heartbeat_answer = calls.call(
        leader.port, "heartbeat", calls.make_heartbeat("cut")
    )
    assert heartbeat_answer.vouched_ms == 0
    for other in others:
        other.send_signal(signal.SIGCONT)
    checks.wait_for_voters(cluster)
    answer = checks.change_until_answered(
        cluster.instances, "after-cut", base, checks.make_document("after-cut")
    )
    assert answer.status == 200
    checks.check_histories(cluster, ["after-cut"], base)


@pytest.mark.parametrize("both_ways", [True, False])
def test_only_the_majority_side_of_a_partition_accepts_changes(
    cluster, both_ways
):
    """Both sides have the same history once the partition is healed."""
    cut_off = cluster.wait_for_leader()
    others = [other for other in cluster.instances if other is not cut_off]
    base = checks.get_version(cluster)
    cluster.cut(cut_off, others, both_ways)
    wait_until(lambda: not checks.is_vouching(cut_off))
    cluster.wait_for_leader(others)
    accepted = []
    for number in range(4):
        refused = cut_off.change(f"cut-{both_ways}-{number}", base, "classes")
        assert refused.status == 400
        change_id = f"lost-{both_ways}-{number}"
        refused = cut_off.change(
            change_id, base, checks.make_document(change_id)
        )
        assert refused is None or refused.status == 503
        assert cut_off.request("GET", "/v1/configuration").status == 503
        change_id = f"kept-{both_ways}-{number}"
        answer = checks.change_until_answered(
            others, change_id, base + number, checks.make_document(change_id)
        )
        assert answer.status == 200
        accepted.append(change_id)
    cluster.heal()
    checks.wait_for_voters(cluster)
    checks.check_histories(cluster, accepted, base)


def test_a_follower_whose_connection_went_silent_hears_of_changes_again(
    cluster,
):
    """The leader has to notice: it expects no answers on that connection."""
    leader = cluster.wait_for_leader()
    follower = next(x for x in cluster.instances if x is not leader)
    base = checks.get_version(cluster)
    cluster.links[leader.name, follower.name].silence()
    answer = checks.change_until_answered(
        [leader], "silent", base, checks.make_document("silent")
    )
    assert answer.status == 200
    wait_until(
        lambda: (
            (status := follower.status())
            and status["configuration_version"] > base
        )
    )
