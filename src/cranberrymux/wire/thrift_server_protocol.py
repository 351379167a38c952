"""The server side of a connection that carries framed thrift messages.

The one of the thrift library imports the whole of `twisted.web`.
"""

from typing import Any

from thrift.transport import TTransport
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure

from cranberrymux.wire import codec
from cranberrymux.wire import limits


class ThriftServerProtocol(basic.Int32StringReceiver):
    """Passes calls to the processor of its factory and sends the answers."""

    MAX_LENGTH = limits.MAXIMUM_FRAME_BYTES
    factory: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Counts the connection as open."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.factory.connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Counts the connection as closed."""
        del reason
        self.factory.connections.discard(self)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Closes the connection."""
        self._abort(f"frame of {length} bytes")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Runs one call; closes the connection if it cannot be read."""
        try:
            self._process(string)
        except Exception as error:  # Thrift raises errors of many types.
            self._abort(type(error).__name__)

    def _process(self, frame: bytes) -> None:
        factory = codec.create_protocol_factory()
        answer = TTransport.TMemoryBuffer()
        processed = self.factory.processor.process(
            factory.getProtocol(TTransport.TMemoryBuffer(frame)),
            factory.getProtocol(answer),
        )
        processed.addCallbacks(self._send, self._close, callbackArgs=(answer,))

    def _send(self, result: Any, answer: TTransport.TMemoryBuffer) -> None:
        del result
        # A call without an answer leaves nothing to send.
        if frame := answer.getvalue():
            send: Any = self.sendString
            send(frame)

    def _close(self, error: failure.Failure) -> None:
        del error
        transport: Any = self.transport
        transport.loseConnection()

    def _abort(self, description: str) -> None:
        self.factory.report_bad_frame(description)
        transport: Any = self.transport
        transport.abortConnection()
