"""One attempt to send a request and receive its response."""

from collections.abc import Callable
from typing import Any

from cranberrymux.load import connection_pool
from cranberrymux.load import http_connection
from cranberrymux.load import no_response_reason


class Attempt:
    """Holds a connection from sending a request to its result."""

    def __init__(
        self,
        reactor: Any,
        pool: connection_pool.ConnectionPool,
        request: bytes,
        on_result: Callable[["Attempt", http_connection.Result], None],
    ) -> None:
        """Creates an attempt that is not started.

        Args:
            reactor: Clock and timers.
            pool: Connections to the target.
            request: Encoded request, head and body.
            on_result: Called once, with the attempt and its result.
        """
        self._reactor = reactor
        self._pool = pool
        self._request = request
        self._on_result = on_result
        self._connection: http_connection.HttpConnection | None = None
        self._timer: Any = None
        self._is_over = False
        self._sent_s = 0.0

    @property
    def sent_s(self) -> float:
        """Monotonic time at which the request was written; 0 if it was not."""
        return self._sent_s

    def start(
        self, limit_s: float, at_limit: no_response_reason.NoResponseReason
    ) -> None:
        """Sends the request as soon as a connection is free.

        Args:
            limit_s: Seconds until the attempt is given up, including the wait
                for a connection.
            at_limit: Result if the attempt is given up at the limit.
        """
        self._timer = self._reactor.callLater(limit_s, self.cancel, at_limit)
        self._pool.acquire(self._send)

    def cancel(self, reason: no_response_reason.NoResponseReason) -> None:
        """Gives the attempt up and closes its connection.

        Args:
            reason: Result of the attempt; replaced by `NOT_SENT` if nothing
                was sent, unless the client hung up.
        """
        if self._is_over:
            return
        if self._connection is not None:
            self._connection.abort()
        else:
            self._pool.cancel_acquire(self._send)
            if reason is not no_response_reason.NoResponseReason.HUNG_UP:
                reason = no_response_reason.NoResponseReason.NOT_SENT
        self._finish(reason)

    def _send(self, connection: http_connection.HttpConnection | None) -> None:
        if connection is None:
            self._finish(no_response_reason.NoResponseReason.UNREACHABLE)
            return
        self._connection = connection
        self._sent_s = self._reactor.seconds()
        connection.send(self._request, self._take_result)

    def _take_result(self, result: http_connection.Result) -> None:
        connection = self._connection
        self._connection = None
        self._finish(result)
        if connection is not None:
            self._pool.release(connection)

    def _finish(self, result: http_connection.Result) -> None:
        self._is_over = True
        if self._timer.active():
            self._timer.cancel()
        self._on_result(self, result)
