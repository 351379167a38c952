"""A persistent HTTP/1.1 client connection without pipelining."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from cranberrymux.load import no_response_reason
from cranberrymux.load import response

Result = response.Response | no_response_reason.NoResponseReason
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024

_CLOSED = failure.Failure(error.ConnectionDone())  # type: ignore[no-untyped-call]


class HttpConnection(protocol.Protocol):
    """Sends one request at a time and parses its response.

    Attributes:
        transport: TCP connection, set by Twisted.
    """

    # Twisted's interface declares its methods without `self`, which type
    # checkers reject.
    transport: Any

    def __init__(self, on_closed: Callable[["HttpConnection"], None]) -> None:
        """Creates a protocol that is not connected.

        Args:
            on_closed: Called once when the connection has closed, after the
                result of a request in flight.
        """
        self._on_closed = on_closed
        self._on_result: Callable[[Result], None] | None = None
        self._is_closed = False
        self._reset()

    @property
    def is_usable(self) -> bool:
        """True until the connection is closed or about to close."""
        return not self._is_closed

    def connectionMade(self) -> None:  # noqa: N802
        """Disables Nagle's algorithm, which would delay small requests."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: bytes, on_result: Callable[[Result], None]) -> None:
        """Sends a request; no other may be in flight.

        Args:
            request: Encoded request, head and body.
            on_result: Called once with the response or why there is none, and
                not at all after `abort`.
        """
        self._on_result = on_result
        self._reset()
        self.transport.write(request)

    def abort(self) -> None:
        """Resets the connection; a request in flight gets no result."""
        self._on_result = None
        self._is_closed = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; closes the connection if the data is not HTTP."""
        self._has_received_data = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_closed = True
            self._finish(no_response_reason.NoResponseReason.MALFORMED)
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = _CLOSED
    ) -> None:
        """Reports the closed connection to a request in flight."""
        self._is_closed = True
        self._finish(
            no_response_reason.NoResponseReason.CUT
            if self._has_received_data
            else no_response_reason.NoResponseReason.NO_ANSWER
        )
        self._on_closed(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser.

        A body longer than `MAXIMUM_BODY_BYTES` ends the request as malformed.
        """
        self._body += body
        if len(self._body) > MAXIMUM_BODY_BYTES:
            self._is_closed = True
            self._finish(no_response_reason.NoResponseReason.MALFORMED)
            self.transport.abortConnection()

    def on_message_complete(self) -> None:
        """Reports the complete response; called by the parser."""
        if not self._parser.should_keep_alive():
            self._is_closed = True
            self.transport.loseConnection()
        self._finish(
            response.Response(
                self._parser.get_status_code(), self._headers, bytes(self._body)
            )
        )

    def _reset(self) -> None:
        self._has_received_data = False
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def _finish(self, result: Result) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)
