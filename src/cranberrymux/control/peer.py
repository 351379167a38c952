"""Another control instance."""

from typing import NamedTuple

from cranberrymux.models import socket_address


class Peer(NamedTuple):
    """Where a control instance listens for peers.

    Attributes:
        control_id: Its name.
        address: IP number.
        port: TCP port.
    """

    control_id: str
    address: str
    port: int


def parse(text: str) -> Peer | None:
    """Reads `control_id=ip:port`; None if the text is not of this form."""
    control_id, _, target = text.partition("=")
    address = socket_address.parse(target)
    if not control_id or address is None:
        return None
    return Peer(control_id, address.host, address.port)


def at_address(text: str) -> Peer | None:
    """Reads `ip:port` of an instance that is named after its IP number."""
    address = socket_address.parse(text)
    if address is None:
        return None
    return Peer(address.host, address.host, address.port)
