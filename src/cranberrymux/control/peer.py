"""Another control instance."""

from typing import NamedTuple


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
    address, _, port = target.rpartition(":")
    if not control_id or not address or not port.isdecimal():
        return None
    if not 0 < int(port) < 65536:
        return None
    return Peer(control_id, address, int(port))
