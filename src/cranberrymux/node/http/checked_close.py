"""Tells an orderly close of a connection from an end that looks like one."""

import array
import fcntl
import socket
import termios
from typing import Any

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface


@zope.interface.implementer(interfaces.IHalfCloseableProtocol)
class CheckedClose(protocol.Protocol):
    """Ends its connection as lost unless the peer has closed it in order.

    Only then `connectionLost` gets `ConnectionDone` at the end of the input.

    Attributes:
        transport: TCP connection, set by Twisted.
        is_send_failed: Set to True by the deriving class when a send of its own
            has met an error of the socket, which tells of it once.
    """

    # Twisted's interface declares its methods without `self`, which type
    # checkers reject.
    transport: Any
    is_send_failed = False

    def readConnectionLost(self) -> None:  # noqa: N802
        """Takes the end of the input, while the socket is still open.

        Twisted also calls this if the poller tells of an error of the socket
        before it tells of the end of the input.
        """
        handle: socket.socket = self.transport.getHandle()
        is_orderly = not (
            self.is_send_failed
            or _take_error(handle)
            or _holds_unacknowledged(handle)
        )
        reason = (
            error.ConnectionDone() if is_orderly else error.ConnectionLost()
        )
        self.transport.connectionLost(
            failure.Failure(reason)  # type: ignore[no-untyped-call]
        )

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing, as the output is not closed by itself."""


def _take_error(handle: socket.socket) -> int:
    """Returns the error that no call has reported yet, and clears it."""
    return handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _holds_unacknowledged(handle: socket.socket) -> bool:
    """Returns whether the peer has yet to acknowledge sent bytes.

    A peer that closes without them resets the connection, if only later.
    False also where the operating system does not tell.
    """
    count = array.array("i", [0])
    try:
        fcntl.ioctl(handle, termios.TIOCOUTQ, count)
    except OSError:
        return False
    return count[0] > 0
