"""Guards against urgent routes that wait among accounts of equal priority."""

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.routes import route as route_module


def find_rank(route_priority, account_priority, has_accounts=True):
    route = route_module.Route(
        "read",
        "",
        "/",
        (),
        route_module.Repeatability.IDEMPOTENT,
        attempts=1,
        timeout_s=1.0,
        objective_s=0.5,
        priority=route_priority,
    )
    account = client_account.ClientAccount("a", ("key",), account_priority)
    return request_rank.find_rank(route, account, has_accounts)


def test_priority_of_the_account_comes_first():
    assert find_rank(9, 0) < find_rank(0, 1)


def test_urgent_routes_come_first_within_an_account_priority():
    assert find_rank(0, 1) < find_rank(1, 1) < find_rank(2, 1)


def test_account_without_priority_has_that_of_the_route():
    assert find_rank(0, None) < find_rank(2, 1) < find_rank(2, None)


@pytest.mark.parametrize("priority", [-5, 15, 16, 1000])
def test_no_route_leaves_the_priority_of_its_account(priority):
    assert find_rank(15, 0) <= find_rank(0, 1) - 1
    assert find_rank(0, 1) <= find_rank(priority, 1) < find_rank(0, 2)


def test_without_accounts_it_is_the_priority_of_the_route():
    assert find_rank(3, None, has_accounts=False) == 3


def test_a_rank_tells_both_priorities():
    assert request_rank.split_rank(find_rank(2, 1)) == (1, 2)
