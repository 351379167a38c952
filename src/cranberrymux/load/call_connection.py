"""One kept-alive HTTP/1.1 connection, one call at a time."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from cranberrymux.load import lost
from cranberrymux.load import response

Result = response.Response | lost.Lost
MAX_BODY_BYTES = 64 * 1024 * 1024

_CLOSED = failure.Failure(error.ConnectionDone())  # type: ignore[no-untyped-call]


class CallConnection(protocol.Protocol):
    """Writes a request and collects its answer with httptools.

    Attributes:
        transport: The TCP connection.
    """

    # The interface is declared without `self`, which type checkers refuse.
    transport: Any

    def __init__(self, on_closed: Callable[["CallConnection"], None]) -> None:
        """Waits for its connection.

        Args:
            on_closed: Called once, after the result of a call in flight.
        """
        self._on_closed = on_closed
        self._on_result: Callable[[Result], None] | None = None
        self._is_closed = False
        self._reset()

    @property
    def is_usable(self) -> bool:
        """True if another call can be sent."""
        return not self._is_closed

    def connectionMade(self) -> None:  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: bytes, on_result: Callable[[Result], None]) -> None:
        """Sends a request; no other may be in flight.

        Args:
            request: The whole request.
            on_result: Called once with the answer or why there is none.
        """
        self._on_result = on_result
        self._reset()
        self.transport.write(request)

    def abort(self) -> None:
        """Closes at once; the call in flight gets no result."""
        self._on_result = None
        self._is_closed = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser."""
        self._has_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_closed = True
            self._finish(lost.Lost.MALFORMED)
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = _CLOSED
    ) -> None:
        """Ends the call in flight."""
        self._is_closed = True
        self._finish(lost.Lost.CUT if self._has_begun else lost.Lost.NO_ANSWER)
        self._on_closed(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header from the parser."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body from the parser."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._is_closed = True
            self._finish(lost.Lost.MALFORMED)
            self.transport.abortConnection()

    def on_message_complete(self) -> None:
        """Hands out the whole answer."""
        if not self._parser.should_keep_alive():
            self._is_closed = True
            self.transport.loseConnection()
        self._finish(
            response.Response(
                self._parser.get_status_code(), self._headers, bytes(self._body)
            )
        )

    def _reset(self) -> None:
        self._has_begun = False
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def _finish(self, result: Result) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)
