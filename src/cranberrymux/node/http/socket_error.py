"""The error of a socket that no call has reported yet."""

import socket
from typing import Any


def take(transport: Any) -> int:
    """Returns the pending error of a transport's socket, and clears it.

    Args:
        transport: A `twisted.internet.tcp` transport that is still connected.

    Returns:
        An error number of `errno`; 0 if there is none.
    """
    handle: socket.socket = transport.getHandle()
    return handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
