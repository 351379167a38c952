"""The owner's count of tokens.

Guards against tokens that exist twice: after a repeated request, a report that
concerns lapsed tokens, another session, or a change of the owner.
"""

import random

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import token_allocator
from cranberrymux.decisions.quotas import token_messages

SETTINGS = quota_settings.QuotaSettings()
ACCOUNT = client_account.ClientAccount("mill", (), None, 10.0, 10.0)
CAPACITY = SETTINGS.get_capacity(10.0, 10.0)
MAXIMUM_OUT = SETTINGS.get_maximum_out(10.0, 10.0)
LEASE_S = 0.5
_Refusal = token_messages.TokenRefusal


@pytest.fixture
def allocator():
    made = token_allocator.TokenAllocator(SETTINGS, 0.0)
    made.set_accounts([ACCOUNT], 0.0)
    return made


def request(sequence, wanted, used=0, *, node="n", session=1, name="mill"):
    row = token_messages.TokenRow(name, wanted, used, wanted > 0)
    return token_messages.TokenRequest(node, session, sequence, (row,))


def take(allocator, now_s, *arguments, **changes):
    answer = allocator.take(request(*arguments, **changes), now_s, LEASE_S)
    return answer.rows[0].tokens


def describe(allocator):
    (use,) = allocator.describe()
    return use


def test_a_repeated_request_is_counted_once(allocator):
    first = allocator.take(request(1, 3), 10.0, LEASE_S)
    assert allocator.take(request(1, 3), 10.2, LEASE_S) == first
    out = describe(allocator).out
    assert out == first.rows[0].tokens > 0
    allocator.take(request(2, 0, used=1), 10.3, LEASE_S)
    allocator.take(request(2, 0, used=1), 10.4, LEASE_S)
    assert describe(allocator).spent == 1


@pytest.mark.parametrize(
    ("sent", "refusal"),
    [
        (request(1, 3), _Refusal.OLD_REQUEST),
        (request(4, 3), _Refusal.UNKNOWN_SESSION),
        (request(2, 3, session=2), _Refusal.UNKNOWN_SESSION),
        (request(1, 3, session=0), _Refusal.OLD_REQUEST),
        (request(2, 3, node="other"), _Refusal.UNKNOWN_SESSION),
    ],
)
def test_refuses_what_does_not_follow_the_last_request(
    allocator, sent, refusal
):
    take(allocator, 10.0, 1, 3)
    take(allocator, 10.1, 2, 3)
    assert allocator.take(sent, 10.2, LEASE_S) is refusal


def test_a_report_after_a_lapse_needs_a_new_session(allocator):
    """The tokens of the report may be those that have lapsed."""
    take(allocator, 10.0, 1, 3)
    answer = allocator.take(request(2, 3, used=3), 14.0, LEASE_S)
    assert answer is _Refusal.UNKNOWN_SESSION
    assert describe(allocator).lapsed > 0
    assert take(allocator, 14.0, 1, 3, session=2) > 0


def test_a_new_session_leaves_the_tokens_of_the_last_one_out(allocator):
    first = take(allocator, 10.0, 1, 3)
    second = take(allocator, 10.1, 1, 3, session=2)
    assert describe(allocator).out == first + second


def test_tokens_given_back_can_be_taken_by_another_node(allocator):
    granted = take(allocator, 10.0, 1, 3)
    before = describe(allocator).bucket
    take(allocator, 10.0, 2, 0)
    use = describe(allocator)
    assert (use.out, use.bucket) == (0, pytest.approx(before + granted))


def test_a_token_taken_back_after_its_report_is_out_again(allocator):
    take(allocator, 10.0, 1, 1)
    take(allocator, 10.1, 2, 0, used=1)
    assert describe(allocator).out == 0
    take(allocator, 10.2, 3, 1, used=-1)
    assert describe(allocator).out == 1
    assert describe(allocator).spent == 0


def test_a_new_owner_hands_out_what_flows_in(allocator):
    granted = sum(
        take(allocator, 0.5, 1, 100, node=f"n{number}") for number in range(50)
    )
    assert granted == 5


def test_tokens_of_a_new_owner_end_with_its_lease(allocator):
    early = allocator.take(request(1, 3), 1.0, LEASE_S)
    late = allocator.take(request(2, 3), 5.0, LEASE_S)
    assert early.ttl_s == LEASE_S
    assert late is _Refusal.UNKNOWN_SESSION
    assert allocator.take(request(1, 3, session=2), 5.0, LEASE_S).ttl_s == 3.0


def test_an_account_without_a_limit_gets_what_it_wants(allocator):
    free = ACCOUNT._replace(name="free", per_s=0.0, burst=0.0)
    allocator.set_accounts([ACCOUNT, free], 10.0)
    assert take(allocator, 10.0, 1, 500, name="free") == 500
    assert take(allocator, 10.0, 2, 500, name="unknown") == 0


def test_forgets_nodes_and_accounts_that_have_gone(allocator):
    take(allocator, 10.0, 1, 3)
    allocator.set_accounts([], 11.0)
    allocator.sweep(12.0)
    assert describe(allocator).out > 0
    allocator.sweep(14.0)
    assert allocator.describe() == []
    allocator.sweep(50.0)
    assert allocator.session_count == 0


@pytest.mark.parametrize("seed", range(5))
def test_tokens_that_exist_never_exceed_the_capacity(allocator, seed):
    generator = random.Random(seed)
    sequences = [0] * 20
    sessions = [1] * 20
    held = [0] * 20
    now_s = 4.0
    for _ in range(2000):
        now_s += generator.expovariate(100.0)
        node = generator.randrange(20)
        used = generator.randint(0, held[node])
        sequences[node] += 1
        answer = allocator.take(
            request(
                sequences[node],
                generator.randint(0, 20),
                used,
                node=f"n{node}",
                session=sessions[node],
            ),
            now_s,
            LEASE_S,
        )
        if isinstance(answer, _Refusal):
            sessions[node] += 1
            sequences[node] = held[node] = 0
        else:
            held[node] += answer.rows[0].tokens - used
        use = describe(allocator)
        assert use.bucket + use.out <= CAPACITY + 1e-6
        assert use.out <= MAXIMUM_OUT
