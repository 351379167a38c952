"""An IP number with a TCP or UDP port."""

from typing import NamedTuple

_MAXIMUM_PORT = 65535


class SocketAddress(NamedTuple):
    """Where a process listens.

    Attributes:
        host: IP number.
        port: Port, from 1.
    """

    host: str
    port: int


def parse(text: str) -> SocketAddress | None:
    """Reads `ip:port`; None if the text is not of this form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        return None
    if not 0 < int(port) <= _MAXIMUM_PORT:
        return None
    return SocketAddress(host, int(port))
