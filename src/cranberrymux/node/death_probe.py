"""Finds out whether a broken connection was the end of the backend server."""

from collections.abc import Callable
import enum
from typing import Any

from twisted.internet import error
from twisted.internet import protocol

from cranberrymux.models import socket_address

PROBE_TIMEOUT_S = 1.0


class ProbeResult(enum.Enum):
    """What became of the attempt to connect.

    Attributes:
        ACCEPTED: A process accepts connections.
        REFUSED: No process listens.
        NO_ANSWER: Nothing is known; the backend server may be frozen.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"


class _Factory(protocol.ClientFactory):
    """Tries one connection and closes it."""

    noisy = False

    def __init__(self, on_result: Callable[[ProbeResult], None]) -> None:
        self._on_result = on_result

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        del addr
        self._on_result(ProbeResult.ACCEPTED)
        return _ClosingProtocol()

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        del connector
        is_refused = reason.check(error.ConnectionRefusedError) is not None
        self._on_result(
            ProbeResult.REFUSED if is_refused else ProbeResult.NO_ANSWER
        )


class _ClosingProtocol(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.loseConnection()


class DeathProbe:
    """Connects to the backend server after a connection to it broke.

    A backend server that refuses the connection has died. One that accepts it
    has only closed a connection, or is another process by now.
    """

    def __init__(
        self, reactor: Any, on_result: Callable[[ProbeResult], None]
    ) -> None:
        """Starts without a probe under way.

        Args:
            reactor: Opens the connections.
            on_result: Called with the result of each probe.
        """
        self._reactor = reactor
        self._on_result = on_result
        self._is_probing = False

    def start(self, address: socket_address.SocketAddress) -> None:
        """Probes an address unless a probe is under way."""
        if self._is_probing:
            return
        self._is_probing = True
        self._reactor.connectTCP(
            address.host,
            address.port,
            _Factory(self._handle_result),
            timeout=PROBE_TIMEOUT_S,
        )

    def _handle_result(self, result: ProbeResult) -> None:
        self._is_probing = False
        self._on_result(result)
