"""A request as a node sends it to another node or the backend server."""

import dataclasses

from cranberrymux.node.http import body_framing
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


@dataclasses.dataclass(slots=True, eq=False)
class OutgoingRequest:
    """Encodes the request; its body may still be arriving.

    Attributes:
        method: HTTP method in upper case.
        target: Request target, as received.
        headers: All headers but those of the framing.
        call: The received request, from which the body comes.
    """

    method: bytes
    target: bytes
    headers: headers_module.HeaderList
    call: inbound_call.InboundCall

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
