import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.retries import entry_grants
from cranberrymux.decisions.retries import retry_settings
from tests.decisions import profiles

SETTINGS = retry_settings.RetrySettings(root_budget=3, grants_maximum=3)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["send", "send", "end"]),
        strategies.sampled_from(["id-1", "id-2"]),
        strategies.integers(0, 9),
    ),
    max_size=30,
)


def check(steps, grants_type):
    grants = grants_type(SETTINGS)
    held = {"id-1": 0, "id-2": 0}
    spent = {"id-1": 0, "id-2": 0}
    for action, request_id, unspent in steps:
        if action == "send":
            held[request_id] += grants.grant(0.0, "ann", request_id)
        else:
            back = min(unspent, held[request_id])
            spent[request_id] += held[request_id] - back
            held[request_id] = 0
            grants.give_back("ann", request_id, back)
        assert spent[request_id] + held[request_id] <= SETTINGS.root_budget


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_resends_do_not_refill_the_budget(steps):
    check(steps, entry_grants.EntryGrants)


class ForgetsAtOnce(entry_grants.EntryGrants):
    def grant(self, now_s, principal, request_id):
        self._grants.clear()
        return super().grant(now_s, principal, request_id)


class GrantsWhileOneRuns(entry_grants.EntryGrants):
    def grant(self, now_s, principal, request_id):
        super().grant(now_s, principal, request_id)
        return self._settings.root_budget


@pytest.mark.parametrize("grants_type", [ForgetsAtOnce, GrantsWhileOneRuns])
def test_the_check_fails_without(grants_type):
    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check(steps, grants_type)

    with pytest.raises(AssertionError):
        check_quickly()


def test_another_principal_has_its_own_grant():
    grants = entry_grants.EntryGrants(SETTINGS)
    assert grants.grant(0.0, "ann", "id") == 3
    assert grants.grant(0.0, "bob", "id") == 3
    assert grants.grant(0.0, "ann", "id") == 0


def test_when_full_a_new_request_gets_none_until_grants_age():
    grants = entry_grants.EntryGrants(SETTINGS)
    for number in range(3):
        assert grants.grant(0.0, "ann", f"id-{number}") == 3
    assert grants.grant(60.0, "ann", "id-0") == 0
    assert grants.grant(119.0, "ann", "id-3") == 0
    assert len(grants) == 3
    assert grants.grant(121.0, "ann", "id-3") == 3
    assert grants.grant(121.0, "ann", "id-0") == 0
