"""The configuration in force, with what a question changes of it."""

from collections.abc import Callable

from cranberrymux.decisions.accounts import account_index
from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_table
from cranberrymux.gateway import parts as parts_module

ChangeAccount = Callable[
    [client_account.ClientAccount], client_account.ClientAccount
]
ChangeRoute = Callable[[route_module.Route], route_module.Route]


class _AskedAccounts(account_index.AccountIndex):
    """Changes each account that is found by its key."""

    def __init__(
        self, accounts: account_index.AccountIndex, change: ChangeAccount
    ) -> None:
        self._accounts = accounts
        self._change = change

    @property
    def is_empty(self) -> bool:
        return self._accounts.is_empty

    def find(self, key: bytes) -> client_account.ClientAccount | None:
        account = self._accounts.find(key)
        return None if account is None else self._change(account)


class _AskedTable(route_table.RouteTable):
    """Changes each route that is found."""

    def __init__(
        self,
        table: route_table.RouteTable,
        change_route: ChangeRoute,
        change_account: ChangeAccount,
    ) -> None:
        self.document = table.document
        self.accounts = _AskedAccounts(table.accounts, change_account)
        self._table = table
        self._change_route = change_route

    def find(self, host: str, path: str) -> route_module.Route | None:
        route = self._table.find(host, path)
        return None if route is None else self._change_route(route)


class AskedRoutes:
    """Implements `parts.RoutesInForce`."""

    def __init__(
        self,
        routes: parts_module.RoutesInForce,
        change_route: ChangeRoute,
        change_account: ChangeAccount,
    ) -> None:
        """Changes what is found, not what is in force.

        Args:
            routes: The configuration in force.
            change_route: Returns a route as the question wants it.
            change_account: Returns an account as the question wants it.
        """
        self._table = (
            None
            if routes.table is None
            else _AskedTable(routes.table, change_route, change_account)
        )
        self._version = routes.version

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes; None before any configuration is known."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._version
