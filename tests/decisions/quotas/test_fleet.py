"""Quotas over all nodes, with nodes and owners simulated message by message.

Guards against more runs than the bound allows in any window, and against
requests within the quota that are refused because the tokens are elsewhere.
"""

import pytest

from cranberrymux.decisions.accounts import client_account
from tests.decisions.quotas import fleet as fleet_module

PER_NODE_PER_S = 12.0
STEADY_SHARE = 0.005


def pick_for(fleet, kind):
    if kind == "all":
        return fleet.pick_any
    if kind == "one":
        node = fleet.generator.choice(fleet.nodes)
        return lambda time_s: node
    offset = fleet.generator.randrange(len(fleet.nodes))
    nodes = fleet.nodes
    return lambda time_s: nodes[(offset + int(time_s)) % len(nodes)]


def make_fleet(node_count, kind, seconds, *, factor=1.0, seed=1):
    total_per_s = PER_NODE_PER_S * node_count
    accounts, rates = fleet_module.make_zipf_accounts(total_per_s)
    fleet = fleet_module.Fleet(node_count, accounts, seed)
    for name, rate in rates.items():
        fleet.offer(name, factor * rate, seconds, pick_for(fleet, kind))
    return fleet, rates


def get_denied_share(fleet, from_s, to_s):
    failed, owed = fleet.count_denied(from_s, to_s)
    return failed / owed


@pytest.mark.parametrize("kind", ["all", "one", "moving"])
@pytest.mark.parametrize(
    ("node_count", "seconds"), [(8, 15.0), (51, 6.0), (300, 3.0)]
)
def test_refuses_little_within_the_quota(node_count, seconds, kind):
    fleet, _ = make_fleet(node_count, kind, seconds)
    start_s = fleet.now_s
    fleet.run(seconds)
    # The first second starts without any token at any node.
    share = get_denied_share(fleet, start_s + 1.0, fleet.now_s - 0.2)
    assert share <= STEADY_SHARE
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("kind", ["all", "one", "moving"])
@pytest.mark.parametrize("factor", [1.6, 2.5])
def test_keeps_the_bound_when_all_accounts_exceed_their_quota(kind, factor):
    fleet, _ = make_fleet(51, kind, 8.0, factor=factor)
    start_s = fleet.now_s
    fleet.run(8.0)
    assert fleet.find_worst_excess() <= 0
    share = get_denied_share(fleet, start_s + 1.0, fleet.now_s - 0.2)
    assert share <= STEADY_SHARE


@pytest.mark.parametrize("kind", ["all", "one"])
@pytest.mark.parametrize("name", ["a0", "a8", "a60"])
def test_an_account_that_becomes_hot_gets_its_quota_within_a_second(name, kind):
    fleet, rates = make_fleet(51, kind, 10.0)
    fleet.run(2.0)
    hot_s = fleet.now_s
    fleet.offer(name, 6.5 * rates[name], 6.5, pick_for(fleet, kind))
    fleet.run(8.0)
    account = next(each for each in fleet.accounts if each.name == name)
    ran = sum(
        hot_s + 1.0 <= time_s < hot_s + 6.0 for time_s in fleet.run_s[name]
    )
    offered = sum(
        hot_s + 1.0 <= time_s < hot_s + 6.0 for time_s in fleet.offered_s[name]
    )
    assert ran >= 0.95 * min(5.0 * account.per_s, offered)
    assert fleet.find_worst_excess() <= 0
    assert get_denied_share(fleet, hot_s, fleet.now_s - 0.2) <= STEADY_SHARE


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_keeps_the_bound_through_lost_and_doubled_messages(seed):
    fleet, _ = make_fleet(8, "all", 10.0, factor=2.5, seed=seed)
    fleet.loss = 0.1
    fleet.doubling = 0.2
    fleet.run(10.0)
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_keeps_the_bound_through_many_changes_of_the_owner(seed):
    fleet, _ = make_fleet(8, "all", 12.0, factor=2.5, seed=seed)
    for _ in range(10):
        fleet.run(fleet.generator.uniform(0.2, 1.5))
        fleet.owner = None
        fleet.run(fleet_module.LEASE_S)
        fleet.start_owner()
    fleet.run(2.0)
    assert fleet.find_worst_excess() <= 0


def test_an_idle_quota_is_not_doubled_by_a_new_owner():
    """Nodes fill up, the owner changes, and all nodes spend at once."""
    account = client_account.ClientAccount("a0", (), None, 100.0, 100.0)
    fleet = fleet_module.Fleet(8, [account])
    fleet.offer("a0", 90.0, 3.0, fleet.pick_any)
    fleet.run(3.0)
    fleet.owner = None
    fleet.run(fleet_module.LEASE_S)
    fleet.start_owner()
    fleet.run(2.0)
    fleet.offer("a0", 3000.0, 5.0, fleet.pick_any)
    fleet.run(6.0)
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("kind", ["all", "moving"])
def test_shares_are_as_before_two_seconds_after_the_owner_is_lost(kind):
    fleet, _ = make_fleet(51, kind, 8.0)
    fleet.run(3.0)
    lost_s = fleet.now_s
    fleet.owner = None
    fleet.run(0.9)
    fleet.start_owner()
    fleet.run(4.1)
    share = get_denied_share(fleet, lost_s + 2.0, lost_s + 4.8)
    assert share <= STEADY_SHARE
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("kind", ["one", "moving", "all"])
def test_refuses_little_in_the_5_s_after_the_owner_is_lost(kind):
    fleet, _ = make_fleet(51, kind, 9.0)
    fleet.run(3.0)
    lost_s = fleet.now_s
    fleet.owner = None
    fleet.run(0.9)
    fleet.start_owner()
    fleet.run(5.1)
    assert get_denied_share(fleet, lost_s, lost_s + 5.0) <= 0.02


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("kind", ["all", "moving"])
def test_keeps_the_bound_through_failures_of_control_instances(kind, seed):
    """All accounts exceed their quota, so that every token is spent."""
    fleet, _ = make_fleet(8, kind, 20.0, factor=2.5, seed=seed)
    fleet.loss = 0.05
    fleet.doubling = 0.1
    generator = fleet.generator
    for _ in range(16):
        standby = generator.choice(fleet.standbys)
        event = generator.choice(["freeze", "cut", "restart", "owner", "node"])
        if event == "freeze":
            standby.frozen_until_s = fleet.now_s + generator.uniform(0.0, 5.0)
        elif event == "cut":
            standby.is_cut = not standby.is_cut
        elif event == "restart":
            standby.start()
        elif event == "node":
            node = generator.choice(fleet.nodes)
            node.is_cut_from_owner = not node.is_cut_from_owner
        else:
            fleet.owner = None
            fleet.run(generator.uniform(fleet_module.LEASE_S, 1.5))
            fleet.start_owner()
        fleet.run(generator.uniform(0.2, 1.5))
    fleet.run(4.0)
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("owner_gap_s", [0.5, 0.9, 3.0])
def test_pools_that_are_spent_at_once_keep_the_bound(owner_gap_s):
    """The pools and the stocks are full when the owner is lost."""
    account = client_account.ClientAccount("a0", (), None, 100.0, 100.0)
    fleet = fleet_module.Fleet(8, [account])
    fleet.offer("a0", 90.0, 6.0, fleet.pick_any)
    fleet.run(6.0)
    fleet.offer("a0", 3000.0, 8.0, fleet.pick_any)
    fleet.owner = None
    fleet.run(owner_gap_s)
    fleet.start_owner()
    fleet.run(9.0)
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("is_owner_lost", [False, True])
@pytest.mark.parametrize("lowered", [(10.0, 10.0), (5.0, 100.0)])
def test_pools_from_before_a_lower_limit_end_within_one_window(
    lowered, is_owner_lost
):
    """The account is hardly used, so that the pools stay full."""
    high = client_account.ClientAccount("a0", (), None, 300.0, 300.0)
    low = high._replace(per_s=lowered[0], burst=lowered[1])
    fleet = fleet_module.Fleet(8, [high])
    fleet.offer("a0", 2.0, 20.0, fleet.pick_any)
    fleet.run(6.0)
    fleet.set_accounts([low])
    bound_s = fleet.now_s + fleet_module.SETTINGS.window_s
    if is_owner_lost:
        fleet.owner = None
        fleet.run(0.9)
        fleet.start_owner()
    fleet.run(bound_s - fleet.now_s)
    fleet.owner = None
    fleet.offer("a0", 3000.0, 8.0, fleet.pick_any)
    fleet.run(0.9)
    fleet.start_owner()
    fleet.run(9.0)
    assert fleet.find_excess(high, from_s=bound_s, limit=low) <= 0


def test_a_node_that_only_the_owner_cannot_hear_is_served_by_pools():
    """What it spends counts as held until it expires, so it gets a part."""
    account = client_account.ClientAccount("a0", (), None, 50.0, 50.0)
    fleet = fleet_module.Fleet(2, [account])
    node = fleet.nodes[0]
    fleet.offer("a0", 8.0, 14.0, lambda time_s: node)
    fleet.run(6.0)
    node.is_cut_from_owner = True
    cut_s = fleet.now_s
    fleet.run(8.0)
    assert get_denied_share(fleet, cut_s, fleet.now_s - 0.2) <= 0.02
    assert fleet.find_worst_excess() <= 0


def test_pools_of_two_instances_help_when_owner_and_a_third_are_lost():
    """As with a zone. The target of 0.02 is for the loss of the owner alone."""
    fleet, _ = make_fleet(51, "all", 9.0)
    fleet.run(3.0)
    lost_s = fleet.now_s
    fleet.owner = None
    fleet.standbys[0].frozen_until_s = fleet.now_s + 60.0
    fleet.run(0.9)
    fleet.start_owner()
    fleet.run(5.1)
    assert get_denied_share(fleet, lost_s, lost_s + 5.0) <= 0.05
    assert fleet.find_worst_excess() <= 0


def test_keeps_the_bound_through_freezes_cuts_and_restarts_of_nodes():
    fleet, _ = make_fleet(8, "all", 16.0, factor=2.5)
    for _ in range(14):
        node = fleet.generator.choice(fleet.nodes)
        event = fleet.generator.choice(["freeze", "cut", "restart"])
        if event == "freeze":
            node.frozen_until_s = fleet.now_s + fleet.generator.uniform(0, 5)
        elif event == "cut":
            node.is_cut = not node.is_cut
        else:
            node.start()
        fleet.run(1.0)
    fleet.run(4.0)
    assert fleet.find_worst_excess() <= 0


def test_a_node_that_is_cut_off_spends_only_what_it_holds():
    account = client_account.ClientAccount("a0", (), None, 50.0, 50.0)
    fleet = fleet_module.Fleet(2, [account])
    node = fleet.nodes[0]
    fleet.offer("a0", 40.0, 10.0, lambda time_s: node)
    fleet.run(3.0)
    cut_s = fleet.now_s
    held = node.stock.count_tokens(cut_s)
    node.is_cut = True
    fleet.run(7.0)
    # An answer may have been on its way.
    ran = sum(time_s >= cut_s for time_s in fleet.run_s["a0"])
    assert ran <= held + 10


def test_an_unused_share_is_there_for_another_node_within_a_second():
    account = client_account.ClientAccount("a0", (), None, 50.0, 50.0)
    fleet = fleet_module.Fleet(8, [account])
    first, second = fleet.nodes[:2]
    fleet.offer("a0", 45.0, 3.0, lambda time_s: first)
    fleet.run(3.0)
    fleet.offer("a0", 45.0, 3.0, lambda time_s: second)
    moved_s = fleet.now_s
    fleet.run(3.5)
    failed, owed = fleet.count_denied(moved_s, moved_s + 3.0)
    assert failed <= 0.01 * owed


@pytest.mark.parametrize("lowered", [(10.0, 10.0), (50.0, 5.0), (5.0, 100.0)])
def test_a_lower_limit_binds_after_one_window(lowered):
    high = client_account.ClientAccount("a0", (), None, 100.0, 100.0)
    low = high._replace(per_s=lowered[0], burst=lowered[1])
    fleet = fleet_module.Fleet(8, [high])
    fleet.offer("a0", 300.0, 20.0, fleet.pick_any)
    fleet.run(5.0)
    fleet.set_accounts([low])
    bound_s = fleet.now_s + fleet_module.SETTINGS.window_s
    fleet.run(15.0)
    assert fleet.find_excess(high, from_s=bound_s, limit=low) <= 0
    assert fleet.find_excess(high) <= 0


def test_a_limit_raised_and_lowered_again_gives_no_second_burst():
    low = client_account.ClientAccount("a0", (), None, 10.0, 10.0)
    high = low._replace(burst=100.0)
    fleet = fleet_module.Fleet(8, [low])
    fleet.offer("a0", 300.0, 16.0, fleet.pick_any)
    fleet.run(3.0)
    for _ in range(10):
        fleet.set_accounts([high])
        fleet.run(0.3)
        fleet.set_accounts([low])
        fleet.run(0.3)
    fleet.run(6.0)
    # A higher burst does not fill the bucket faster than its rate.
    assert fleet.find_excess(low) <= 0


def test_messages_of_a_node_do_not_grow_with_accounts_that_it_does_not_see():
    few = client_account.ClientAccount("a0", (), None, 50.0, 50.0)
    others = [few._replace(name=f"b{number}") for number in range(1000)]
    fleet = fleet_module.Fleet(2, [few, *others])
    first, second = fleet.nodes
    fleet.offer("a0", 20.0, 3.0, lambda time_s: first)
    for other in others:
        fleet.offer(other.name, 1.0, 3.0, lambda time_s: second)
    fleet.run(3.0)
    assert first.stock.account_count == 1
    assert first.messages <= 3.0 / fleet_module.TICK_S
    fleet.run(10.0)
    assert first.stock.account_count == 0
    assert second.stock.account_count == 0
