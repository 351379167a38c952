"""IP addresses with a TCP or UDP port."""

from typing import NamedTuple

_MAXIMUM_PORT = 65535


class SocketAddress(NamedTuple):
    """The address on which a process listens.

    Attributes:
        host: IP address as text.
        port: Port number, from 1 to 65535.
    """

    host: str
    port: int


def parse(text: str) -> SocketAddress | None:
    """Parses `ip:port`; returns None if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        return None
    if not 0 < int(port) <= _MAXIMUM_PORT:
        return None
    return SocketAddress(host, int(port))
