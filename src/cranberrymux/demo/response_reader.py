"""Reads one HTTP response, and tells a whole one from one that broke off.

`http.client` takes the end of a connection amid the head of a response for the
end of the head, and returns an empty body.
"""

import httptools

from cranberrymux.models import http_status

_BODYLESS_STATUSES = (204, 304)


class ResponseReader:
    """Collects a response as the parser reads it.

    Attributes:
        status: HTTP status code; 0 before it is read.
        is_whole: True once the whole response has been read.
    """

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._has_length = False
        self._is_ended_by_close = False
        self._has_no_status = False
        self.status = 0
        self.is_whole = False

    @property
    def body(self) -> bytes:
        """The body read so far, without transfer coding."""
        return bytes(self._body)

    def feed(self, data: bytes) -> None:
        """Parses the next bytes.

        Raises:
            HttpParserError: They are no HTTP.
        """
        self._parser.feed_data(data)
        if self._has_no_status:
            raise httptools.HttpParserError("no status of HTTP")

    def end(self) -> None:
        """Notes an orderly end of the connection."""
        self.is_whole |= self._is_ended_by_close

    # Callbacks of `httptools.HttpResponseParser`.

    def on_message_begin(self) -> None:
        """Prepares for a response, or for the one behind a 1xx response."""
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes a header that tells where the body ends."""
        del value  # The parser checks it.
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Notes the status, and whether the connection ends the body."""
        self.status = self._parser.get_status_code()
        self._has_no_status |= self.status < http_status.MINIMUM
        self._is_ended_by_close = (
            self.status >= http_status.MINIMUM_FINAL
            and self.status not in _BODYLESS_STATUSES
            and not self._has_length
        )

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body."""
        self._body += part

    def on_message_complete(self) -> None:
        """Ends the response, unless it is a 1xx response."""
        self.is_whole |= self.status >= http_status.MINIMUM_FINAL
