"""The bytes that the operating system holds for the peer of a connection."""

import array
import fcntl
import termios
from typing import Any


def has_unacknowledged(transport: Any) -> bool:
    """Returns whether the peer has yet to acknowledge sent bytes.

    Args:
        transport: A `twisted.internet.tcp` transport that is still connected.

    Returns:
        False also where the operating system does not tell.
    """
    count = array.array("i", [0])
    try:
        fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, count)
    except OSError:
        return False
    return count[0] > 0
