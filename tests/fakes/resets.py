"""Resets of connections, as a process that crashes may cause them."""

import socket
import struct

_CLOSE_AT_ONCE = struct.pack("ii", 1, 0)


def reset(connection):
    """Ends a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _CLOSE_AT_ONCE)
    connection.close()
