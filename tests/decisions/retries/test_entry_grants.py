"""Retry budgets granted at the entry of a request.

Guards against clients that multiply retries by resending a request under the
same id: a resend must not get a new budget, neither while the first run is in
progress nor after its grant has been dropped to make room.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.retries import entry_grants
from cranberrymux.decisions.retries import retry_settings
from tests import profiles

SETTINGS = retry_settings.RetrySettings(root_budget=3, maximum_grants=3)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["send", "send", "end"]),
        strategies.sampled_from(["id-1", "id-2"]),
        strategies.integers(0, 9),
    ),
    max_size=30,
)


def check_budget_per_id(steps, grants_type):
    grants = grants_type(SETTINGS)
    held = {"id-1": 0, "id-2": 0}
    spent = {"id-1": 0, "id-2": 0}
    for action, request_id, unspent in steps:
        if action == "send":
            held[request_id] += grants.grant(0.0, "ann", request_id)
        else:
            returned = min(unspent, held[request_id])
            spent[request_id] += held[request_id] - returned
            held[request_id] = 0
            grants.give_back("ann", request_id, returned)
        assert spent[request_id] + held[request_id] <= SETTINGS.root_budget


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_resends_never_exceed_the_root_budget(steps):
    check_budget_per_id(steps, entry_grants.EntryGrants)


class DropsGrantsAtOnce(entry_grants.EntryGrants):
    def grant(self, now_s, principal, request_id):
        self._grants.clear()
        return super().grant(now_s, principal, request_id)


class GrantsDuringEarlierRun(entry_grants.EntryGrants):
    def grant(self, now_s, principal, request_id):
        super().grant(now_s, principal, request_id)
        return self._settings.root_budget


@pytest.mark.parametrize(
    "grants_type", [DropsGrantsAtOnce, GrantsDuringEarlierRun]
)
def test_property_fails_for_a_faulty_table(grants_type):
    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def search_for_violation(steps):
        check_budget_per_id(steps, grants_type)

    with pytest.raises(AssertionError):
        search_for_violation()


def test_same_id_of_another_principal_gets_its_own_grant():
    grants = entry_grants.EntryGrants(SETTINGS)
    assert grants.grant(0.0, "ann", "id") == 3
    assert grants.grant(0.0, "bob", "id") == 3
    assert grants.grant(0.0, "ann", "id") == 0


def test_full_table_grants_nothing_until_grants_expire():
    grants = entry_grants.EntryGrants(SETTINGS)
    for number in range(3):
        assert grants.grant(0.0, "ann", f"id-{number}") == 3
    assert grants.grant(60.0, "ann", "id-0") == 0
    assert grants.grant(119.0, "ann", "id-3") == 0
    assert len(grants) == 3
    assert grants.grant(121.0, "ann", "id-3") == 3
    assert grants.grant(121.0, "ann", "id-0") == 0
