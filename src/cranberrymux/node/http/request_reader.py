"""Parses the requests of one connection and checks their limits."""

from typing import Protocol
from typing import cast

import httptools

from cranberrymux.node.http import bad_message
from cranberrymux.node.http import framing_meter
from cranberrymux.node.http import headers
from cranberrymux.node.http import limits
from cranberrymux.node.http import request_head
from cranberrymux.node.http import request_head_reader

# Bytes of the request line, line ends and lines of chunks in short bodies.
FRAMING_SLACK_BYTES = 65_536


class RequestListener(Protocol):
    """Receives the parts of requests as they are read."""

    def head_read(self, head: request_head.RequestHead) -> None:
        """Receives a head that was checked and accepted."""

    def body_read(self, part: bytes) -> None:
        """Receives the next bytes of the body."""

    def request_read(self) -> None:
        """Called at the end of the request."""


class RequestReader:
    """Feeds a parser and tells a listener of what it reads.

    Attributes:
        headers: Headers of the request that is read or was read last.
        is_reading_head: True if part of a request has been read, but not its
            whole head.
    """

    def __init__(
        self, message_limits: limits.Limits, listener: RequestListener
    ) -> None:
        """Starts before the first request.

        Args:
            message_limits: Limits on each request.
            listener: Receives the requests.
        """
        self._limits = message_limits
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._meter = framing_meter.FramingMeter(
            message_limits.header_bytes
            + message_limits.target_bytes
            + FRAMING_SLACK_BYTES
        )
        self._target = b""
        self._header_bytes = 0
        self._header_count = 0
        self._body_bytes = 0
        self._bad: bad_message.BadMessage | None = None
        self.headers: headers.HeaderList = []
        self.is_reading_head = False

    def feed(self, data: bytes) -> bad_message.BadMessage | None:
        """Parses data; returns what is wrong with it, after which it is over.

        Args:
            data: The next bytes of the connection.
        """
        try:
            self._feed_all(data)
        except httptools.HttpParserCallbackError:
            if self._bad is None:
                # A defect of this program, not of the message: Twisted logs
                # it and closes the connection.
                raise
            return self._bad
        except httptools.HttpParserError as error:
            return bad_message.BadMessage(400, str(error))
        self._meter.note_read(len(data))
        if self._meter.is_exceeded:
            status = 431 if self.is_reading_head else 400
            detail = "too many bytes without any of the body"
            return bad_message.BadMessage(status, detail)
        return None

    # Callbacks of `httptools.HttpRequestParser`.

    def on_message_begin(self) -> None:
        """Prepares for the head of the next request."""
        self._target = b""
        self._header_bytes = 0
        self._header_count = 0
        self._body_bytes = 0
        self.headers = []
        self.is_reading_head = True

    def on_url(self, part: bytes) -> None:
        """Collects a part of the request target and checks its length."""
        self._target += part
        if len(self._target) > self._limits.target_bytes:
            self._fail(414, f"target over {self._limits.target_bytes} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header and checks the limits, also on trailers."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._limits.header_bytes:
            self._fail(431, f"headers over {self._limits.header_bytes} bytes")
        if self._header_count >= self._limits.header_count:
            self._fail(431, f"over {self._limits.header_count} headers")
        self._header_count += 1
        if self.is_reading_head:
            self.headers.append(headers.normalize(name, value))

    def on_headers_complete(self) -> None:
        """Checks the head and passes it on."""
        self.is_reading_head = False
        head = request_head_reader.read_head(
            self._parser, self._target, self.headers, self._limits
        )
        if isinstance(head, bad_message.BadMessage):
            self._fail(head.status, head.detail)
        expectation = headers.find(self.headers, b"expect")
        if expectation is not None and expectation.lower() != b"100-continue":
            self._fail(417, "only 100-continue can be expected")
        self._listener.head_read(cast(request_head.RequestHead, head))

    def on_body(self, part: bytes) -> None:
        """Passes on a part of the body."""
        self._meter.note_body(len(part))
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._fail(413, f"body over {self._limits.body_bytes} bytes")
        self._listener.body_read(part)

    def on_message_complete(self) -> None:
        """Ends the request."""
        self._meter.end()
        self._listener.request_read()

    def _feed_all(self, data: bytes) -> None:
        """Parses data, with a new parser behind each request to upgrade."""
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                self._parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]
            else:
                return

    def _fail(self, status: int, detail: str) -> None:
        """Stops the parser, whose caller then returns the reason."""
        self._bad = bad_message.BadMessage(status, detail)
        raise ValueError(detail)
