"""What a backend server announces of itself to its node."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.models import socket_address


class BackendServer(NamedTuple):
    """The backend server beside this node, as last announced.

    Attributes:
        service: Name of the service that it offers.
        address: TCP address that it listens on.
        slots: Number of calls that it can run at once.
        labels: Labels of its endpoint, by name.
        calls: Names of the services that it calls.
        load_path: URL path that returns its load; empty if it has none.
    """

    service: str
    address: socket_address.SocketAddress
    slots: int
    labels: Mapping[str, str]
    calls: Sequence[str]
    load_path: str
