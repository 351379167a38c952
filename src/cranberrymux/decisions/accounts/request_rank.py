"""Orders requests by the priority of their account, then of their route.

Guards against urgent routes that wait behind the others of equally important
accounts, as most accounts of a deployment tend to have the same priority.
"""

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module

# Priorities of routes that are told apart within one priority of accounts.
ROUTE_PRIORITIES = 16


def find_rank(
    route: route_module.Route,
    account: client_account.ClientAccount | None,
    has_accounts: bool,
) -> int:
    """Returns the rank of a request; lower ranks are more important.

    Args:
        route: Route of the request.
        account: The client account that sent it; None for none.
        has_accounts: True if the configuration has accounts. Without them, the
            rank is the priority of the route.
    """
    if not has_accounts:
        return route.priority
    priority = None if account is None else account.priority
    if priority is None:
        priority = route.priority
    within = min(max(route.priority, 0), ROUTE_PRIORITIES - 1)
    return priority * ROUTE_PRIORITIES + within


def split_rank(rank: int) -> tuple[int, int]:
    """Returns the priorities of account and route in a rank with accounts."""
    return divmod(rank, ROUTE_PRIORITIES)
