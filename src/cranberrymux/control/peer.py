"""Name and address of a control instance."""

from typing import NamedTuple

from cranberrymux.models import socket_address


class Peer(NamedTuple):
    """Where a control instance listens for nodes and other instances.

    Attributes:
        control_id: Name of the instance.
        address: IP address without a port.
        port: TCP port.
    """

    control_id: str
    address: str
    port: int


def parse(text: str) -> Peer | None:
    """Parses `control_id=ip:port`; returns None if the text is invalid."""
    control_id, _, target = text.partition("=")
    address = socket_address.parse(target)
    if not control_id or address is None:
        return None
    return Peer(control_id, address.host, address.port)


def parse_address(text: str) -> Peer | None:
    """Parses `ip:port` of an instance that is named after its IP address."""
    address = socket_address.parse(text)
    if address is None:
        return None
    return Peer(address.host, address.host, address.port)
