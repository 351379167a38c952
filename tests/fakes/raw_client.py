"""An HTTP client that sends raw bytes and records what it receives."""

from twisted.internet import error
from twisted.internet import protocol


class RawClient(protocol.Protocol):
    """Records all bytes received and whether the connection has ended.

    Attributes:
        received: All bytes received.
        is_closed: True once the connection has ended.
        is_reset: True once it has ended other than by an orderly close.
    """

    def __init__(self):
        self.received = b""
        self.is_closed = False
        self.is_reset = False

    def connectionMade(self):
        pass

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.is_closed = True
        self.is_reset = not reason.check(error.ConnectionDone)

    def send(self, data):
        self.transport.write(data)

    @property
    def statuses(self):
        """Status codes of the answers received, 1xx included, in order."""
        lines = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(line[:3]) for line in lines]
