"""A persistent HTTP/1.1 client connection without pipelining."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from cranberrymux.load import no_response_reason
from cranberrymux.load import response
from cranberrymux.models import http_status

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

    def __init__(
        self,
        on_closed: Callable[["HttpConnection"], None],
        on_unsolicited: Callable[[], None],
    ) -> None:
        """Creates a protocol that is not connected.

        Args:
            on_closed: Called once when the connection has closed, after the
                result of a request in flight.
            on_unsolicited: Called when data arrives while no request is in
                flight, which ends the connection.
        """
        self._on_closed = on_closed
        self._on_unsolicited = on_unsolicited
        self._on_result: Callable[[Result], None] | None = None
        self._is_closed = False
        self._response: response.Response | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)
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
        """Feeds the parser; reports a response once all data was parsed.

        Data that is not HTTP, or goes on behind the response, makes the
        response malformed.
        """
        if self._is_closed:
            return
        if self._on_result is None:
            self._is_closed = True
            self._on_unsolicited()
            self.transport.abortConnection()
            return
        self._has_received_data = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_malformed = True
        if self._is_malformed:
            self._is_closed = True
            self._finish(no_response_reason.NoResponseReason.MALFORMED)
            self.transport.abortConnection()
        elif self._response is not None:
            self._finish_with_response(self._response)

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

    def on_message_begin(self) -> None:
        """Notes data behind the complete response; called by the parser."""
        if self._response is not None:
            self._is_malformed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser.

        A body longer than `MAXIMUM_BODY_BYTES` makes the response malformed.
        """
        self._body += body
        if len(self._body) > MAXIMUM_BODY_BYTES:
            self._is_malformed = True

    def on_message_complete(self) -> None:
        """Keeps a complete final response; called by the parser."""
        status = self._parser.get_status_code()
        if status < http_status.MINIMUM:
            self._is_malformed = True
            return
        if status < http_status.MINIMUM_FINAL:
            self._headers = {}
            return
        if self._response is None:
            self._response = response.Response(
                status, self._headers, bytes(self._body)
            )
            self._is_last = not self._parser.should_keep_alive()

    def _reset(self) -> None:
        self._has_received_data = False
        self._is_malformed = False
        self._is_last = False
        self._response = None
        self._headers = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def _finish_with_response(self, complete: response.Response) -> None:
        if self._is_last:
            self._is_closed = True
            self.transport.loseConnection()
        self._finish(complete)

    def _finish(self, result: Result) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)
