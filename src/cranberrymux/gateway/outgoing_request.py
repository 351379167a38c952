"""A request as a node sends it to another node or the backend server."""

from cranberrymux.node.http import body_framing
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


class OutgoingRequest:
    """Encodes the request; its body may still be arriving.

    Attributes:
        method: HTTP method in upper case.
        target: Request target, as received.
        headers: All headers but those of the framing.
        call: The received request, from which the body comes.
    """

    __slots__ = ("call", "headers", "method", "target")

    def __init__(
        self, call: inbound_call.InboundCall, headers: headers_module.HeaderList
    ) -> None:
        """Passes on a received request with other headers."""
        self.method = call.head.method
        self.target = call.head.target
        self.headers = headers
        self.call = call

    def encode(self) -> bytes:
        """Encodes the head, and the body if all of it has been read."""
        header_lines = headers_module.encode(self.headers)
        head = b"%b %b HTTP/1.1\r\n%b" % (
            self.method,
            self.target,
            header_lines,
        )
        call = self.call
        if not call.is_body_complete:
            return head + body_framing.encode_streamed(call.head)
        body = call.buffered_body()
        if body or self.method in (b"POST", b"PUT", b"PATCH"):
            return head + b"content-length: %d\r\n\r\n%b" % (len(body), body)
        return head + b"\r\n"
