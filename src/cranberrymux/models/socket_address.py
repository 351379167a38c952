"""IP addresses with a TCP or UDP port."""

import functools
from typing import NamedTuple

MAXIMUM_PORT = 65535
_KEPT_ADDRESSES = 1024  # Results kept by `get` and `parse`.


class SocketAddress(NamedTuple):
    """The address on which a process listens.

    Attributes:
        host: IP address as text.
        port: Port number, from 1 to 65535.
    """

    host: str
    port: int


@functools.lru_cache(_KEPT_ADDRESSES)
def get(host: str, port: int) -> SocketAddress:
    """Returns an address; kept, since many requests go to the same ones."""
    return SocketAddress(host, port)


@functools.lru_cache(_KEPT_ADDRESSES)
def parse(text: str) -> SocketAddress | None:
    """Parses `ip:port`; returns None if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        return None
    if len(port) > len(str(MAXIMUM_PORT)):
        return None
    if not 0 < int(port) <= MAXIMUM_PORT:
        return None
    return SocketAddress(host, int(port))
