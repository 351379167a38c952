"""Checks of the soak on client accounts.

Guards against a soak that passes although requests ran under a key that was
taken away, above the quota or under the name of another account.
"""

import types

import pytest

from tests.soak import account_checks
from tests.soak import accounts

REVOKE_S = account_checks.REVOKE_S
LOW = accounts.LOWERED_VERSIONS[0]
CHANGED = accounts.KEY_CHANGE_VERSIONS


def begin(request_id, at_s, tenant):
    return {
        "event": "begin",
        "id": request_id,
        "at": at_s,
        "backend": "b",
        "tenant": tenant,
    }


def acknowledge(*versions):
    """Acknowledges versions, each 0.5 s after it was sent, every 10 s."""
    return [
        accounts.Acknowledgement(version, 10.0 * place, 10.0 * place + 0.5)
        for place, version in enumerate(versions)
    ]


def check(lines, acknowledged, observed=(), late_times_s=(), **options):
    return account_checks.find_violations(
        observed, {"m0": lines}, {"m0": late_times_s}, acknowledged, **options
    )


def run_often(account, count, from_s, span_s):
    return [
        begin(
            f"key-{account}-{number}", from_s + span_s * number / count, account
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("tenant", ["", "forged", "steady"])
def test_another_name_is_reported(tenant):
    lines = [begin("key-hot-1", 1.0, tenant)]
    (violation,) = check(lines, acknowledge(2))
    assert violation.startswith("ACCOUNT key-hot-1 ")


def test_a_name_on_a_request_without_a_key_is_reported():
    assert check([begin("c0-1", 1.0, "hot")], acknowledge(2))
    assert check([begin("c0-1", 1.0, "")], acknowledge(2)) == []


def test_names_of_calls_are_not_checked():
    assert check([begin("key-hot-1.0", 1.0, "")], acknowledge(2)) == []


@pytest.mark.parametrize(("late_s", "count"), [(-0.01, 0), (0.01, 1)])
def test_a_removed_key_that_runs_late_is_reported(late_s, count):
    acknowledged = acknowledge(CHANGED, 2 * CHANGED)
    at_s = acknowledged[1].at_s + REVOKE_S + late_s
    violations = check(
        [begin("key-rotating-1-7", at_s, "rotating")], acknowledged
    )
    assert len(violations) == count
    assert (
        check([begin("key-rotating-2-7", at_s, "rotating")], acknowledged) == []
    )


@pytest.mark.parametrize(("before_s", "count"), [(2.9, 0), (3.1, 1)])
def test_a_run_that_a_frozen_backend_server_held_back_is_excused(
    before_s, count
):
    at_s = 10.5 + REVOKE_S + 0.5
    violations = check(
        [begin("key-rotating-1-7", at_s, "rotating")],
        acknowledge(CHANGED, 2 * CHANGED),
        late_times_s=[at_s - before_s],
    )
    assert len(violations) == count


@pytest.mark.parametrize(("excess", "count"), [(0, 0), (1, 1)])
def test_runs_above_the_quota_are_reported(excess, count):
    limit = accounts.get_limits(0)["hot"]
    allowed = int((5.0 * limit.per_s + limit.burst) * 1.1 + 20)
    lines = run_often("hot", allowed + excess, 12.0, 4.9)
    violations = check(lines, acknowledge(2, 4))
    assert len(violations) == count
    assert all(each.startswith("QUOTA hot") for each in violations)


@pytest.mark.parametrize(("from_s", "count"), [(15.0, 0), (15.6, 1)])
def test_a_lower_limit_binds_after_one_window(from_s, count):
    """It is acknowledged at 10.5 s."""
    lines = run_often("lowered", 100, from_s, 4.9)
    violations = check(lines, acknowledge(LOW - 2, LOW, LOW + 2))
    assert len(violations) == count


def test_a_higher_limit_may_hold_before_it_is_acknowledged():
    lines = run_often("lowered", 100, 15.6, 4.9)
    high = accounts.LOWERED_VERSIONS[-1] + 1
    assert check(lines, acknowledge(LOW - 2, LOW), sent=(high, 16.0)) == []


def test_a_refusal_of_a_request_that_ran_is_reported():
    observed = [
        types.SimpleNamespace(request_id="key-hot-1", status=429),
        types.SimpleNamespace(request_id="key-steady-1", status=200),
    ]
    lines = [
        begin("key-hot-1", 1.0, "hot"),
        begin("key-steady-1", 1.0, "steady"),
    ]
    violations = check(lines, acknowledge(2), observed)
    assert violations == ["REFUSED key-hot-1 got 429 and ran"]


def test_an_account_within_its_quota_that_is_never_served_is_reported():
    observed = [types.SimpleNamespace(request_id="key-steady-1", status=429)]
    assert check([], acknowledge(2), observed)
