"""A client account as the configuration defines it."""

from typing import NamedTuple


class ClientAccount(NamedTuple):
    """Keys, priority and quota of one client account.

    Attributes:
        name: Name of the account, unique. Logs, metrics and backend servers
            see it in place of the keys.
        keys: Secrets that requests of the account carry, unique over all
            accounts.
        priority: Priority rank of its requests, which goes before that of the
            route; among accounts of equal priority that of the route decides.
            None to use the route's.
        per_s: Requests a second that all nodes together may run; 0.0 for no
            limit.
        burst: Requests that may run beyond that rate at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """True if the account has a quota."""
        return self.per_s > 0.0
