"""A client of one control instance that reconnects by itself."""

from collections.abc import Callable
from typing import Any

from thrift import Thrift
from thrift.transport import TTransport
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from cranberrymux.wire import control_client_settings
from cranberrymux.wire import thrift_client_protocol
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_BACKOFF_FACTOR = 2
_BACKOFF_JITTER = 0.2


# Twisted has no type annotations for this class.
_ReconnectingClientFactory: Any = protocol.ReconnectingClientFactory


class _ClientFactory(_ReconnectingClientFactory):
    noisy = False
    factor = _BACKOFF_FACTOR
    jitter = _BACKOFF_JITTER

    def __init__(
        self, settings: control_client_settings.ControlClientSettings
    ) -> None:
        self.initialDelay = settings.first_backoff_ms / 1000
        self.delay = self.initialDelay
        self.maxDelay = settings.maximum_backoff_ms / 1000
        self.connection: Any = None

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> protocol.Protocol | None:
        self.resetDelay()
        self.connection = thrift_client_protocol.ThriftClientProtocol()
        self.connection.factory = self
        return self.connection

    def clientConnectionLost(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        self.connection = None
        super().clientConnectionLost(connector, reason)


def _check_answer(answer: Any, answer_type: type[Any]) -> None:
    """Raises a `TException` if it is no whole answer of that type."""
    if not isinstance(answer, answer_type):
        raise Thrift.TException(f"answer is a {type(answer).__name__}")
    answer.validate()


class ControlClient:
    """Calls one control instance.

    Every call returns the answer or a `WireError`; none raises. A call made
    while there is no connection returns `NOT_CONNECTED` at once. A call that
    times out aborts the connection, so that a process that hangs is
    disconnected and no late answer arrives on the next connection.
    """

    def __init__(
        self,
        settings: control_client_settings.ControlClientSettings,
        reactor: Any = None,
    ) -> None:
        """Creates a client that is not connected; `start` connects.

        Args:
            settings: Address of the control instance, key and timeouts.
            reactor: The reactor to use; the global one by default.
        """
        if reactor is None:
            from twisted.internet import reactor as installed  # noqa: PLC0415

            reactor = installed
        self._settings = settings
        self._reactor = reactor
        self._factory = _ClientFactory(settings)
        self._factory.clock = reactor
        self._connector: Any = None

    @property
    def settings(self) -> control_client_settings.ControlClientSettings:
        """Settings of the connection."""
        return self._settings

    @property
    def is_connected(self) -> bool:
        """True if the connection is open, so that a call would be sent now."""
        connection = self._factory.connection
        return connection is not None and connection.client is not None

    def start(self) -> None:
        """Connects, and reconnects whenever the connection ends."""
        self._connector = self._reactor.connectTCP(
            self._settings.address,
            self._settings.port,
            self._factory,
            timeout=self._settings.timeout_ms / 1000,
        )

    def stop(self) -> None:
        """Closes the connection and does not reconnect."""
        self._factory.stopTrying()
        if self._connector is not None:
            self._connector.disconnect()

    async def heartbeat(self, heartbeat: Any) -> Any:
        """Sends a `Heartbeat`; returns `HeartbeatAnswer | WireError`."""
        return await self._call(
            ttypes.HeartbeatAnswer,
            lambda client: client.heartbeat(
                self._settings.cluster_key, heartbeat
            ),
        )

    async def claim(self, request: Any) -> Any:
        """Sends a `ClaimRequest`; returns `ClaimAnswer | WireError`."""
        return await self._call(
            ttypes.ClaimAnswer,
            lambda client: client.claim(self._settings.cluster_key, request),
        )

    async def settle(self, request: Any) -> Any:
        """Sends a `SettleRequest`; returns `ClaimAnswer | WireError`."""
        return await self._call(
            ttypes.ClaimAnswer,
            lambda client: client.settle(self._settings.cluster_key, request),
        )

    async def report_suspect(self, report: Any) -> Any:
        """Sends a `SuspectReport`; returns `SuspectAnswer | WireError`."""
        return await self._call(
            ttypes.SuspectAnswer,
            lambda client: client.report_suspect(
                self._settings.cluster_key, report
            ),
        )

    async def take_quota(self, request: Any) -> Any:
        """Sends a `QuotaRequest`; returns `QuotaAnswer | WireError`."""
        return await self._call(
            ttypes.QuotaAnswer,
            lambda client: client.take_quota(
                self._settings.cluster_key, request
            ),
        )

    async def propose(self, command: Any) -> Any:
        """Sends a `Command`; returns `CommandAnswer | WireError`."""
        return await self._call(
            ttypes.CommandAnswer,
            lambda client: client.propose(self._settings.cluster_key, command),
        )

    async def contact(self, contact: Any) -> Any:
        """Sends a `Contact`; returns `ContactAnswer | WireError`."""
        return await self._call(
            ttypes.ContactAnswer,
            lambda client: client.contact(self._settings.cluster_key, contact),
        )

    def deliver(self, message: Any) -> bool:
        """Sends a `PeerMessage`, which has no answer.

        Returns:
            False if there is no connection, or too much waits to be sent on
            it, so that nothing was sent.
        """
        if not self.is_connected or not self._factory.connection.has_room:
            return False
        client = self._factory.connection.client
        sent = client.deliver(self._settings.cluster_key, message)
        sent.addErrback(lambda _: None)
        return True

    async def _call(
        self, answer_type: type[Any], send: Callable[[Any], Any]
    ) -> Any:
        if not self.is_connected:
            return wire_error.WireError(
                wire_error.WireErrorReason.NOT_CONNECTED, self._address_text
            )
        connection = self._factory.connection
        answered = send(connection.client)
        answered.addTimeout(self._settings.timeout_ms / 1000, self._reactor)
        try:
            answer = await answered
            _check_answer(answer, answer_type)
            return answer
        except defer.TimeoutError:
            connection.transport.abortConnection()
            return self._make_error(wire_error.WireErrorReason.TIMEOUT, "")
        except ttypes.Refused as refused:
            return self._make_error(
                wire_error.WireErrorReason.REFUSED, refused.reason
            )
        except TTransport.TTransportException:
            return self._make_error(
                wire_error.WireErrorReason.CONNECTION_LOST, ""
            )
        except Exception as error:  # Thrift raises errors of many types.
            connection.discard_unsent()
            return self._make_error(
                wire_error.WireErrorReason.PROTOCOL, str(error)
            )

    @property
    def _address_text(self) -> str:
        return f"{self._settings.address}:{self._settings.port}"

    def _make_error(
        self, reason: wire_error.WireErrorReason, detail: str
    ) -> wire_error.WireError:
        detail_with_address = f"{self._address_text} {detail}".strip()
        return wire_error.WireError(reason, detail_with_address)
