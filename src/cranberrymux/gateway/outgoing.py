"""A request as it is sent on."""

from typing import NamedTuple

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


class Outgoing(NamedTuple):
    """One request to another node or to the backend server.

    Attributes:
        method: In upper case.
        target: Request target as it came.
        headers: All headers but those of the framing.
        call: Where the body comes from.
    """

    method: bytes
    target: bytes
    headers: headers_module.HeaderList
    call: inbound_call.InboundCall

    @property
    def is_whole(self) -> bool:
        """True if the whole body has been read."""
        return self.call.is_body_complete

    @property
    def is_chunked(self) -> bool:
        """True if the body is sent in chunks."""
        mode = self.call.head.mode
        return not self.is_whole and mode is body_mode.BodyMode.CHUNKED

    def encode(self) -> bytes:
        """Encodes the head, and the body if it is whole."""
        lines = headers_module.encode(self.headers)
        first = b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, lines)
        if self.is_chunked:
            return first + b"transfer-encoding: chunked\r\n\r\n"
        if not self.is_whole:
            length = self.call.head.content_length
            return first + b"content-length: %d\r\n\r\n" % length
        body = self.call.buffered_body()
        if body or self.method in (b"POST", b"PUT", b"PATCH"):
            return first + b"content-length: %d\r\n\r\n%b" % (len(body), body)
        return first + b"\r\n"
