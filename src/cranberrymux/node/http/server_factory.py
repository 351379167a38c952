"""Creates server connections and closes idle, slow or all of them."""

from typing import Any

from twisted.internet import protocol

from cranberrymux.node.http import call_handler
from cranberrymux.node.http import call_pipeline
from cranberrymux.node.http import limits
from cranberrymux.node.http import read_budget
from cranberrymux.node.http import read_pacer
from cranberrymux.node.http import server_connection


class _TrackedConnection(server_connection.ServerConnection):
    def __init__(
        self,
        handler: call_handler.CallHandler,
        message_limits: limits.Limits,
        may_run_ahead: call_pipeline.RunAheadPolicy,
        budget: read_budget.ReadBudget,
        pacer: read_pacer.ReadPacer | None,
        open_connections: set[server_connection.ServerConnection],
        unchanged_since: dict[server_connection.ServerConnection, Any],
    ) -> None:
        super().__init__(handler, message_limits, may_run_ahead, budget, pacer)
        self._open_connections = open_connections
        self._unchanged_since = unchanged_since

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._open_connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        self._open_connections.discard(self)
        self._unchanged_since.pop(self, None)
        super().connectionLost(reason)


class ServerFactory(protocol.ServerFactory):
    """Creates and tracks the connections of one listening port."""

    noisy = False

    def __init__(
        self,
        handler: call_handler.CallHandler,
        message_limits: limits.Limits,
        may_run_ahead: call_pipeline.RunAheadPolicy = (
            call_pipeline.never_run_ahead
        ),
        budget: read_budget.ReadBudget | None = None,
        pacer: read_pacer.ReadPacer | None = None,
    ) -> None:
        """Creates a factory without connections.

        Args:
            handler: Answers the calls of every connection.
            message_limits: Limits for each connection.
            may_run_ahead: Tells from a request's head whether it may be
                handled before earlier ones of its connection are answered.
            budget: Bounds what the connections of several ports hold
                together; None for one of this port alone.
            pacer: Makes connections wait after costly reads; None for no such
                pauses.
        """
        self._budget = budget or read_budget.ReadBudget()
        self._pacer = pacer
        self._handler = handler
        self._may_run_ahead = may_run_ahead
        self._limits = message_limits
        self._open_connections: set[server_connection.ServerConnection] = set()
        self._is_draining = False
        # By connection: whether it reads a head, its number of reads if it is
        # idle, and since when both have been so.
        self._unchanged_since: dict[
            server_connection.ServerConnection, tuple[tuple[bool, int], float]
        ] = {}

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> server_connection.ServerConnection:
        """Creates a tracked connection with the limits in force."""
        del addr  # Clients are identified by their headers.
        made = _TrackedConnection(
            self._handler,
            self._limits,
            self._may_run_ahead,
            self._budget,
            self._pacer,
            self._open_connections,
            self._unchanged_since,
        )
        made.is_draining = self._is_draining
        return made

    def set_limits(self, message_limits: limits.Limits) -> None:
        """Sets the limits on each request that begins from now on."""
        self._limits = message_limits
        for connection in self._open_connections:
            connection.set_limits(message_limits)

    def sweep(self, now_s: float, idle_s: float, head_timeout_s: float) -> None:
        """Closes connections that are idle, or slow to send a head.

        To be called about once a second, as times count from the first call
        that sees a connection idle or reading a head. While an answer is due,
        for which reading may have paused, neither timeout runs.

        Args:
            now_s: Present time on any steady clock.
            idle_s: Longest time that an idle connection may go without a read.
            head_timeout_s: Longest time from the first to the last byte of a
                request's head.
        """
        for connection in list(self._open_connections):
            if connection.is_answering:
                self._unchanged_since.pop(connection, None)
                continue
            if connection.is_reading_head:
                state = (True, 0)
                timeout_s = head_timeout_s
            else:
                state = (False, connection.read_count)
                timeout_s = idle_s
            previous = self._unchanged_since.get(connection)
            if previous is None or previous[0] != state:
                self._unchanged_since[connection] = (state, now_s)
            elif now_s - previous[1] > timeout_s:
                connection.close()

    def drain(self) -> None:
        """Closes each connection after the answers in progress."""
        self._is_draining = True
        for connection in self._open_connections:
            connection.is_draining = True

    def close_connections(self) -> None:
        """Closes every connection once everything written has been sent."""
        for connection in list(self._open_connections):
            connection.close()
