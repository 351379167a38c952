"""Control instances that are frozen or silently cut off."""

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


def test_a_leader_frozen_past_its_lease_and_thawed(cluster):
    """Once thawed it never answers by an older version and accepts nothing."""
    frozen = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not frozen]
    base = checks.get_version(cluster)
    frozen.send_signal(signal.SIGSTOP)
    answers = []
    waiting = threading.Thread(
        target=lambda: answers.append(
            frozen.change(
                "to-frozen", base, checks.make_document("x"), timeout_s=8.0
            )
        )
    )
    waiting.start()
    cluster.wait_for_leader(others)
    made = checks.change_until_answered(
        others, "after", base, checks.make_document("after")
    )
    assert made.status == 200
    frozen.send_signal(signal.SIGCONT)
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        found = frozen.request("GET", "/v1/configuration", timeout_s=1.0)
        if found is not None and found.status == 200:
            assert found.body["version"] > base
    waiting.join()
    assert answers[0] is None or answers[0].status in (409, 503)
    checks.check_histories(cluster, ["after"], base)


def test_an_instance_cut_off_stops_vouching_and_accepts_nothing(cluster):
    """Its lease ends; a change is refused with a time, and never accepted."""
    leader = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not leader]
    base = checks.get_version(cluster)
    started = time.monotonic()
    for one in others:
        one.send_signal(signal.SIGSTOP)
    wait_until(lambda: not checks.is_vouching(leader))
    assert time.monotonic() - started < 2.0
    refused = leader.change("cut-off", base, checks.make_document("cut"))
    assert refused.status == 503
    assert refused.body["rejected"] is True
    assert int(refused.headers["Retry-After"]) >= 1
    assert leader.request("GET", "/v1/configuration").status == 503
    claimed = calls.call(
        leader.port,
        "claim",
        calls.make_claim(schedules.uuid7(int(time.time() * 1000), 77)),
    )
    assert claimed.verdict == Verdict.UNAVAILABLE
    assert claimed.retry_after_ms > 0
    beat = calls.call(leader.port, "heartbeat", calls.make_heartbeat("cut"))
    assert beat.vouched_ms == 0
    for one in others:
        one.send_signal(signal.SIGCONT)
    checks.wait_for_voters(cluster)
    answer = checks.change_until_answered(
        cluster.instances, "after-cut", base, checks.make_document("after-cut")
    )
    assert answer.status == 200
    checks.check_histories(cluster, ["after-cut"], base)


@pytest.mark.parametrize("both_ways", [True, False])
def test_a_silent_cut_with_operators_on_both_sides(cluster, both_ways):
    """One side accepts, the other nothing; both hold the same afterwards."""
    cut_off = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not cut_off]
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
