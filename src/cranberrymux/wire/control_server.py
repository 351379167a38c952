"""The server side of the thrift service Control."""

from typing import Any

from thrift.transport import TTwisted
from twisted.internet import protocol

from cranberrymux.wire import codec
from cranberrymux.wire import limits
from cranberrymux.wire.gen.messages import Control


class _ServerProtocol(TTwisted.ThriftServerProtocol):
    MAX_LENGTH = limits.MAXIMUM_FRAME_BYTES

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.factory.connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        self.factory.connections.discard(self)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.factory.report_bad_frame(f"frame of {length} bytes")
        self.transport.abortConnection()

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        try:
            super().stringReceived(frame)
        except Exception as error:  # Thrift raises errors of many types.
            self.factory.report_bad_frame(type(error).__name__)
            self.transport.abortConnection()


class ControlServerFactory(TTwisted.ThriftServerFactory):
    """Creates the protocol of each connection and tracks open connections.

    Attributes:
        connections: Protocols of the open connections.
        report_bad_frame: Called with a description of each frame that cannot
            be read.
    """

    noisy = False
    protocol = _ServerProtocol

    def __init__(self, handler: Any, report_bad_frame: Any) -> None:
        """Creates a factory without connections.

        Args:
            handler: Implements `Control.Iface`.
            report_bad_frame: Called with a description, one line, of each frame
                that cannot be read, before its connection is aborted.
        """
        super().__init__(
            Control.Processor(handler), codec.create_protocol_factory()
        )
        self.connections: set[Any] = set()
        self.report_bad_frame = report_bad_frame

    def close_connections(self) -> None:
        """Closes every open connection."""
        for connection in list(self.connections):
            connection.transport.loseConnection()
