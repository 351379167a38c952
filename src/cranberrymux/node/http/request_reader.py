"""Parses the requests of one connection and checks their limits."""

from typing import NoReturn
from typing import Protocol

import httptools

from cranberrymux.node.http import bad_message
from cranberrymux.node.http import framing_meter
from cranberrymux.node.http import header_reader
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
        on_header: Callback of the parser for each header and trailer.
        messages: Number of requests that have begun.
        is_reading_head: True if part of a request has been read, but not its
            whole head.
        sized_body_left: Bytes that are to come of a body whose length its head
            tells; 0 for others.
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
        self._next_limits = message_limits
        self._listener = listener
        self._header_reader = header_reader.HeaderReader(
            message_limits.header_bytes, message_limits.header_count
        )
        self.on_header = self._header_reader.add
        self._parser = httptools.HttpRequestParser(self)
        self._meter = framing_meter.FramingMeter(
            _get_framing_bytes(message_limits)
        )
        self._target = b""
        self._body_bytes = 0
        self._bad: bad_message.BadMessage | None = None
        self._headers = headers.Headers([])
        self.messages = 0
        self.is_reading_head = False
        self.sized_body_left = 0

    @property
    def headers(self) -> headers.Headers:
        """Headers of the request that is read or was read last."""
        if self.is_reading_head:
            return headers.Headers(self._header_reader.pairs)
        return self._headers

    @property
    def head_bytes(self) -> int:
        """Bytes read of a head that is not complete."""
        return self._header_reader.message_bytes if self.is_reading_head else 0

    def set_limits(self, message_limits: limits.Limits) -> None:
        """Sets the limits on each request that begins from now on."""
        self._next_limits = message_limits

    def release(self) -> None:
        """Frees what was read, once the connection has ended.

        Parser and listener refer to this reader and this to them: reference
        cycles, which only the garbage collector would free.
        """
        del self._parser
        del self._listener

    def feed(self, data: bytes) -> bad_message.BadMessage | None:
        """Parses data; returns what is wrong with it, after which it is over.

        Args:
            data: The next bytes of the connection.
        """
        size = len(data)
        self._header_reader.note_read(size)
        try:
            while data:
                try:
                    self._parser.feed_data(data)
                except httptools.HttpParserUpgrade as upgrade:
                    # What follows a request to upgrade needs a new parser.
                    self._parser = httptools.HttpRequestParser(self)
                    data = data[upgrade.args[0] :]
                else:
                    break
        except httptools.HttpParserCallbackError:
            if self._bad is None:
                # A defect of this program, not of the message: Twisted logs
                # it and closes the connection.
                raise
            return self._bad
        except httptools.HttpParserError as error:
            return bad_message.BadMessage(400, str(error))
        if self._header_reader.pairs and self._header_reader.is_exceeded:
            return self._describe_excess()
        if self._meter.has_ended:
            self._meter.has_ended = False
        elif self._meter.note_read(size):
            status = 431 if self.is_reading_head else 400
            detail = "too many bytes without any of the body"
            return bad_message.BadMessage(status, detail)
        return None

    # Callbacks of `httptools.HttpRequestParser`.

    def on_message_begin(self) -> None:
        """Prepares for the head of the next request."""
        if self._limits is not self._next_limits:
            self._apply_next_limits()
        self.messages += 1
        self._target = b""
        self._header_reader.begin()
        self._body_bytes = 0
        self.is_reading_head = True

    def on_url(self, part: bytes) -> None:
        """Collects a part of the request target and checks its length."""
        self._target += part
        if len(self._target) > self._limits.target_bytes:
            detail = f"target over {self._limits.target_bytes} bytes"
            self._fail(bad_message.BadMessage(414, detail))

    def on_headers_complete(self) -> None:
        """Checks the head and passes it on."""
        taken = self._header_reader.take()
        if taken is None:
            self._fail(self._describe_excess())
        self._headers = taken
        self.is_reading_head = False
        head = request_head_reader.read_head(
            self._parser, self._target, self._headers, self._limits
        )
        if isinstance(head, bad_message.BadMessage):
            self._fail(head)
        self.sized_body_left = head.content_length
        self._listener.head_read(head)

    def on_body(self, part: bytes) -> None:
        """Passes on a part of the body."""
        self._meter.note_body(len(part))
        self._body_bytes += len(part)
        if self.sized_body_left:
            self.sized_body_left -= len(part)
        if self._body_bytes > self._limits.body_bytes:
            detail = f"body over {self._limits.body_bytes} bytes"
            self._fail(bad_message.BadMessage(413, detail))
        self._listener.body_read(part)

    def on_message_complete(self) -> None:
        """Ends the request."""
        if self._header_reader.pairs and self._header_reader.is_exceeded:
            self._fail(self._describe_excess())
        self._meter.end()
        self._listener.request_read()

    def _apply_next_limits(self) -> None:
        applied = self._limits = self._next_limits
        self._header_reader.set_limits(
            applied.header_bytes, applied.header_count
        )
        self._meter.set_limit(_get_framing_bytes(applied))

    def _describe_excess(self) -> bad_message.BadMessage:
        """Returns which limit headers and trailers exceed."""
        detail = f"headers over {self._limits.header_bytes} bytes"
        if self._header_reader.has_too_many:
            detail = f"over {self._limits.header_count} headers"
        return bad_message.BadMessage(431, detail)

    def _fail(self, bad: bad_message.BadMessage) -> NoReturn:
        """Stops the parser, whose caller then returns the reason."""
        self._bad = bad
        raise ValueError(bad.detail)


def _get_framing_bytes(message_limits: limits.Limits) -> int:
    """Returns how much may be read of a request without any of its body."""
    return (
        message_limits.header_bytes
        + message_limits.target_bytes
        + FRAMING_SLACK_BYTES
    )
