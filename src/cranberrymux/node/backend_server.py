"""The backend server beside this node, as it announced itself."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.node.http import connection_pool


class BackendServer(NamedTuple):
    """An announcement.

    Attributes:
        service: Name of the service that it offers.
        address: Where it listens.
        slots: Calls that it can run at once.
        labels: Its labels.
        calls: Names of the services that it calls.
        load_path: Where its load can be asked; empty if it has none.
    """

    service: str
    address: connection_pool.Address
    slots: int
    labels: Mapping[str, str]
    calls: Sequence[str]
    load_path: str
