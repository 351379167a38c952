"""The listening ports of a gateway and their open connections."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.routes import client_limits
from cranberrymux.models import socket_address
from cranberrymux.node.http import call_handler
from cranberrymux.node.http import call_pipeline
from cranberrymux.node.http import limits as limits_module
from cranberrymux.node.http import read_budget
from cranberrymux.node.http import read_pacer
from cranberrymux.node.http import server_factory

BACKLOG = 512  # Connections not yet accepted, per port.
# Request bodies up to this size are read whole before they are passed on.
BUFFERED_BODY_BYTES = 1 << 20
# Between nodes: what a client may send, at any configured limit, and what the
# first node adds.
NODE_LIMITS = limits_module.Limits(
    header_bytes=1 << 20,
    header_count=128,
    buffered_bytes=BUFFERED_BODY_BYTES,
    holds_waiting_bodies=True,
)


class Ports:
    """Opens and closes ports and enforces the limits on client connections."""

    def __init__(
        self, reactor: Any, on_shed: Callable[[int], None] | None = None
    ) -> None:
        """Starts without open ports.

        Args:
            reactor: The reactor to use.
            on_shed: Called with the bytes that a connection held, before it
                is closed since all connections together hold too much.
        """
        self._reactor = reactor
        self._budget = read_budget.ReadBudget(on_shed=on_shed)
        self._pacer = read_pacer.ReadPacer(reactor)
        self._ports: list[Any] = []
        self._factories: list[server_factory.ServerFactory] = []
        self._clients: server_factory.ServerFactory | None = None
        self._limits = client_limits.ClientLimits()

    def open_for_clients(
        self,
        address: str,
        handler: call_handler.CallHandler,
        may_run_ahead: call_pipeline.RunAheadPolicy,
    ) -> None:
        """Opens the port to which the limits of `set_limits` apply.

        Args:
            address: `ip:port` to listen on.
            handler: Answers the calls on that port.
            may_run_ahead: Tells from a request's head whether it may be
                handled before earlier ones of its connection are answered.

        Raises:
            CannotListenError: The port is in use.
        """
        self._clients = self.open(
            address,
            handler,
            limits_module.Limits(
                buffered_bytes=BUFFERED_BODY_BYTES, holds_waiting_bodies=True
            ),
            may_run_ahead,
        )

    def open(
        self,
        address: str,
        handler: call_handler.CallHandler,
        message_limits: limits_module.Limits = NODE_LIMITS,
        may_run_ahead: call_pipeline.RunAheadPolicy = (
            call_pipeline.never_run_ahead
        ),
    ) -> server_factory.ServerFactory:
        """Opens a port for nodes, without limits on idle or slow connections.

        Args:
            address: `ip:port` to listen on.
            handler: Answers the calls on that port.
            message_limits: Limits on the requests.
            may_run_ahead: Tells from a request's head whether it may be
                handled before earlier ones of its connection are answered.

        Returns:
            The factory of the port's connections.

        Raises:
            CannotListenError: The port is in use.
        """
        parsed = socket_address.parse(address)
        assert parsed is not None
        factory = server_factory.ServerFactory(
            handler, message_limits, may_run_ahead, self._budget, self._pacer
        )
        port = self._reactor.listenTCP(
            parsed.port, factory, backlog=BACKLOG, interface=parsed.host
        )
        self._factories.append(factory)
        self._ports.append(port)
        return factory

    def set_limits(self, limits: client_limits.ClientLimits) -> None:
        """Sets the limits on client connections.

        Size limits apply to each request that begins from now on, also on open
        connections; timeouts apply at once.
        """
        self._limits = limits
        if self._clients is not None:
            self._clients.set_limits(
                limits_module.Limits(
                    header_bytes=limits.header_bytes,
                    body_bytes=limits.body_bytes,
                    buffered_bytes=BUFFERED_BODY_BYTES,
                    holds_waiting_bodies=True,
                )
            )

    def sweep(self, now_s: float) -> None:
        """Closes client connections that exceed the idle or header timeout.

        Args:
            now_s: Present time in monotonic seconds; expects about one call
                per second.
        """
        if self._clients is not None:
            self._clients.sweep(
                now_s,
                self._limits.idle_timeout_s,
                self._limits.header_timeout_s,
            )

    def drain(self) -> None:
        """Closes each connection after the answers in progress."""
        for factory in self._factories:
            factory.drain()

    def close(self) -> None:
        """Stops listening and closes the open connections."""
        for port in self._ports:
            port.stopListening()
        for factory in self._factories:
            factory.close_connections()
