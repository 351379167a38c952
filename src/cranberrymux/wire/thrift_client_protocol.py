"""The client side of a connection that carries framed thrift messages.

The one of the thrift library imports the whole of `twisted.web`, which a node
has no other use for: 3.3 MB of memory and 55 modules.
"""

from collections.abc import Callable
from typing import Any

from thrift.transport import TTransport
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure

from cranberrymux.wire import codec
from cranberrymux.wire import limits
from cranberrymux.wire.gen.messages import Control


class _FrameTransport(TTransport.TMemoryBuffer):
    """Collects what is written and sends it as one frame when flushed."""

    def __init__(self, send: Callable[[bytes], Any]) -> None:
        super().__init__()
        self._send = send

    def flush(self) -> None:
        frame = self.getvalue()
        self.discard()
        self._send(frame)

    def discard(self) -> None:
        """Drops what was written and not flushed."""
        super().__init__()


class ThriftClientProtocol(basic.Int32StringReceiver):
    """Sends calls of the service Control and matches the answers to them.

    Attributes:
        client: The generated client; None unless the connection is open.
    """

    MAX_LENGTH = limits.MAXIMUM_FRAME_BYTES

    def __init__(self) -> None:
        """Starts without a connection."""
        self.client: Any = None
        self._frames: Any = None
        self._is_paused = False
        self._unsent_bytes = 0

    @property
    def has_room(self) -> bool:
        """False while too many bytes wait for a peer that does not read."""
        return self._unsent_bytes < limits.MAXIMUM_UNSENT_BYTES

    def discard_unsent(self) -> None:
        """Drops the part of a message that could not be encoded further."""
        self._frames.discard()

    def connectionMade(self) -> None:  # noqa: N802
        """Creates the client of the connection."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._frames = _FrameTransport(self._send_frame)
        self.client = Control.Client(
            self._frames, codec.create_protocol_factory()
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Counts frames from now on, as the peer does not read them."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Clears the count, as everything has been sent."""
        self._is_paused = False
        self._unsent_bytes = 0
        transport: Any = self.transport
        if transport.disconnecting:
            # Closes; a producer that was paused would keep it open.
            transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; `connectionLost` follows."""

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails the calls that have no answer."""
        client, self.client = self.client, None
        if client is None:
            return
        error = TTransport.TTransportException(
            TTransport.TTransportException.END_OF_FILE,
            f"connection closed: {reason.getErrorMessage()}",
        )
        pending = client._reqs
        while pending:
            pending.popitem()[1].errback(error)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Reads one answer; closes the connection if that fails."""
        try:
            self._read_answer(string)
        except Exception:  # Thrift raises errors of many types.
            transport: Any = self.transport
            transport.abortConnection()

    def _send_frame(self, frame: bytes) -> None:
        send: Any = self.sendString
        send(frame)
        if self._is_paused:
            self._unsent_bytes += len(frame)

    def _read_answer(self, frame: bytes) -> None:
        reader = codec.create_protocol_factory().getProtocol(
            TTransport.TMemoryBuffer(frame)
        )
        name, message_type, sequence = reader.readMessageBegin()
        receive = getattr(self.client, f"recv_{name}")
        receive(reader, message_type, sequence)
