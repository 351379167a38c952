"""The listening ports of a gateway and the connections taken there."""

from typing import Any

from cranberrymux.decisions.routes import client_limits
from cranberrymux.models import socket_address
from cranberrymux.node.http import call_handler
from cranberrymux.node.http import limits as limits_module
from cranberrymux.node.http import server_factory

BACKLOG = 512  # Connections that wait to be taken.
# Bodies up to this size are read whole before they are passed on.
BUFFERED_BODY_BYTES = 1 << 20


class Ports:
    """Opens and closes ports; bounds what clients may send and keep."""

    def __init__(self, reactor: Any) -> None:
        """Starts with none."""
        self._reactor = reactor
        self._ports: list[Any] = []
        self._factories: list[server_factory.ServerFactory] = []
        self._clients: server_factory.ServerFactory | None = None
        self._limits = client_limits.ClientLimits()

    def open_for_clients(
        self, address: str, handler: call_handler.CallHandler
    ) -> None:
        """Opens the port whose connections `set_limits` bounds.

        Raises:
            CannotListenError: The port is taken.
        """
        self._clients = self.open(address, handler)

    def open(
        self, address: str, handler: call_handler.CallHandler
    ) -> server_factory.ServerFactory:
        """Opens a port.

        Args:
            address: `ip:port`.
            handler: Answers the calls that come there.

        Raises:
            CannotListenError: The port is taken.
        """
        found = socket_address.parse(address)
        assert found is not None
        factory = server_factory.ServerFactory(
            handler, limits_module.Limits(buffered_bytes=BUFFERED_BODY_BYTES)
        )
        port = self._reactor.listenTCP(
            found.port, factory, backlog=BACKLOG, interface=found.host
        )
        self._factories.append(factory)
        self._ports.append(port)
        return factory

    def set_limits(self, limits: client_limits.ClientLimits) -> None:
        """Takes bounds for clients: on new connections, and when idle."""
        self._limits = limits
        if self._clients is not None:
            self._clients.set_limits(
                limits_module.Limits(
                    header_bytes=limits.header_bytes,
                    body_bytes=limits.body_bytes,
                    buffered_bytes=BUFFERED_BODY_BYTES,
                )
            )

    def sweep(self, now_s: float) -> None:
        """Closes clients' connections that are idle or slow to send a head."""
        if self._clients is not None:
            self._clients.sweep(
                now_s,
                self._limits.idle_timeout_s,
                self._limits.header_timeout_s,
            )

    def leave(self) -> None:
        """Closes each connection after its next answer."""
        for factory in self._factories:
            factory.leave()

    def close(self) -> None:
        """Takes no more connections and closes those that are open."""
        for port in self._ports:
            port.stopListening()
        for factory in self._factories:
            factory.close_connections()
