"""Tokens that control instances keep for nodes without an owner.

Guards against tokens that exist twice: after a repeated or late answer, when
they were passed on and are renewed, or when the limit is lowered.
"""

import random

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import standby_pool
from cranberrymux.decisions.quotas import token_allocator
from cranberrymux.decisions.quotas import token_messages

SETTINGS = quota_settings.QuotaSettings()
ACCOUNT = client_account.ClientAccount("mill", (), None, 100.0, 100.0)
LEASE_S = 0.5
Row = token_messages.TokenRow


class Scene:
    def __init__(self):
        self.allocator = token_allocator.TokenAllocator(SETTINGS, 0.0)
        self.allocator.set_accounts([ACCOUNT], 0.0)
        self.pool = standby_pool.StandbyPool("c1", 1)
        self.ask_as_node(10.0)
        self.fill(10.0)

    def ask_as_node(self, now_s):
        """Sends a request of a node, which makes the account an active one."""
        request = token_messages.TokenRequest(
            "n", int(now_s * 1000), 1, (Row("mill", 0),)
        )
        self.allocator.take(request, now_s, LEASE_S)

    def fill(self, now_s):
        request = self.pool.next_request(now_s)
        answer = self.allocator.take(request, now_s, LEASE_S)
        self.pool.apply_answer(request, answer, now_s)
        return request, answer

    def take(self, now_s, wanted=1000):
        answer = self.pool.take((Row("mill", wanted),), now_s)
        return answer.rows[0].tokens, answer.ttl_s

    @property
    def out(self):
        return self.allocator.describe()[0].out


@pytest.fixture
def scene():
    return Scene()


def test_the_owner_counts_what_the_pool_holds(scene):
    assert scene.pool.count_tokens(10.0) == scene.out > 0


def test_passes_on_each_token_once_and_at_most_half_to_a_node(scene):
    held = scene.pool.count_tokens(10.0)
    taken = [scene.take(10.5)[0] for _ in range(20)]
    assert taken[0] <= held / 2 + 1
    assert sum(taken) == held
    assert scene.take(10.5) == (0, 0.0)


def test_tokens_that_are_passed_on_end_when_those_of_the_pool_do(scene):
    assert scene.take(11.0)[1] == pytest.approx(2.0)
    assert scene.take(12.99)[0] > 0
    assert scene.take(13.0)[0] == 0


def test_the_owner_counts_passed_on_tokens_until_they_end(scene):
    taken, _ = scene.take(11.0)
    for step in range(1, 5):
        scene.fill(11.0 + 0.5 * step)
        held = scene.pool.count_tokens(11.0 + 0.5 * step)
        assert scene.out == held + taken
    scene.fill(13.5)
    scene.fill(14.2)
    # Renewals of the pool did not renew those.
    assert scene.out == scene.pool.count_tokens(14.2)


def test_a_repeated_report_is_counted_once(scene):
    scene.take(10.1)
    request = scene.pool.next_request(10.2)
    first = scene.allocator.take(request, 10.2, LEASE_S)
    assert scene.pool.next_request(10.7) is request
    assert scene.allocator.take(request, 10.7, LEASE_S) == first
    before = scene.pool.count_tokens(10.7)
    scene.pool.apply_answer(request, first, 10.7)
    scene.pool.apply_answer(request, first, 10.8)
    granted = first.rows[0].tokens
    assert scene.pool.count_tokens(10.8) == before + granted


def test_an_answer_that_comes_after_its_tokens_ended_is_not_used(scene):
    request = scene.pool.next_request(10.2)
    answer = scene.allocator.take(request, 10.2, LEASE_S)
    scene.pool.apply_answer(request, answer, 13.3)
    assert scene.pool.count_tokens(13.3) == 0
    assert scene.pool.next_request(13.3).session == 2


def test_tokens_of_an_earlier_session_are_passed_on_and_not_reported(scene):
    scene.pool.start_session()
    assert scene.take(10.5)[0] > 0
    assert scene.pool.next_request(10.6).rows == ()


def test_a_new_owner_fills_no_pool_while_old_tokens_may_be_valid():
    """Its tokens would end with its lease, when nodes need them."""
    allocator = token_allocator.TokenAllocator(SETTINGS, 0.0)
    allocator.set_accounts([ACCOUNT], 0.0)
    pool = standby_pool.StandbyPool("c1", 1)
    answer = allocator.take(pool.next_request(2.0), 2.0, LEASE_S)
    assert answer.rows == ()


def test_tokens_from_before_a_lower_limit_are_not_renewed(scene):
    low = ACCOUNT._replace(per_s=1.0, burst=1.0)
    scene.allocator.set_accounts([low], 11.0)
    for step in range(1, 9):
        scene.ask_as_node(11.0 + 0.5 * step)
        scene.fill(11.0 + 0.5 * step)
    capacity = SETTINGS.get_capacity(1.0, 1.0)
    assert scene.out <= capacity
    assert scene.pool.count_tokens(15.0) <= scene.out


def test_an_account_that_was_removed_gets_no_pool(scene):
    scene.allocator.set_accounts([], 11.0)
    _, answer = scene.fill(11.0)
    assert answer.rows == ()


@pytest.mark.parametrize("seed", range(5))
def test_tokens_that_are_valid_are_never_more_than_the_owner_counts(seed):
    """Messages of three pools and their answers are lost at random."""
    generator = random.Random(seed)
    scene = Scene()
    pools = [scene.pool] + [
        standby_pool.StandbyPool(f"c{index}", 1) for index in (2, 3)
    ]
    passed_on = []
    now_s = 10.0
    for _ in range(2000):
        now_s += generator.expovariate(20.0)
        pool = generator.choice(pools)
        event = generator.random()
        if event < 0.5:
            request = pool.next_request(now_s)
            if generator.random() < 0.7:
                answer = scene.allocator.take(request, now_s, LEASE_S)
                if isinstance(answer, token_messages.TokenRefusal):
                    pool.note_refusal(request, answer)
                elif generator.random() < 0.7:
                    pool.apply_answer(request, answer, now_s)
        elif event < 0.9:
            wanted = generator.randint(1, 30)
            answer = pool.take((Row("mill", wanted),), now_s)
            passed_on.append((now_s + answer.ttl_s, answer.rows[0].tokens))
        elif event < 0.97:
            scene.ask_as_node(now_s)
        else:
            now_s += generator.uniform(0.0, 4.0)
        scene.allocator.sweep(now_s)
        valid = sum(count for until_s, count in passed_on if now_s < until_s)
        held = sum(each.count_tokens(now_s) for each in pools)
        use = scene.allocator.describe()[0]
        assert valid + held <= use.out
        assert (
            use.bucket + use.out <= SETTINGS.get_capacity(100.0, 100.0) + 1e-6
        )
        assert use.out <= SETTINGS.get_maximum_out(100.0, 100.0)
