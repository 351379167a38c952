"""Encodes the calls that a node sends to nodes and backend servers."""

from typing import NamedTuple

from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import request_context
from cranberrymux.models import socket_address
from cranberrymux.node.http import body_framing
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import correlation
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

# Request headers of the system: those received are not forwarded, as each node
# sets its own.
REQUEST_HEADERS = frozenset(
    (
        b"cranberrymux-context",
        b"cranberrymux-key",
        b"cranberrymux-request-id",
        b"cranberrymux-principal",
        b"cranberrymux-timeout-ms",
        b"cranberrymux-service",
        b"cranberrymux-endpoint",
        b"cranberrymux-configuration",
        b"cranberrymux-vouch",
        correlation.HEADER,
    )
)
# Answer headers of the system: those of a backend server are not forwarded, as
# its node sets its own.
ANSWER_HEADERS = frozenset(
    (
        b"cranberrymux-answer",
        b"cranberrymux-request-id",
        b"cranberrymux-level",
        b"cranberrymux-unspent",
        b"cranberrymux-configuration",
        b"cranberrymux-load",
        b"cranberrymux-dependency-failed",
        correlation.HEADER,
    )
)


class PeerHeaders(NamedTuple):
    """Headers that a node sends only to other nodes.

    Attributes:
        key: The cluster key, which proves that the sender is a node.
        configuration: Version of the configuration in force at the sender.
        service: Service that is called.
        endpoint_id: Endpoint chosen for the call; no other may run it.
        correlation_id: Id of this sending, which the answer repeats.
    """

    key: bytes
    configuration: int
    service: bytes
    endpoint_id: bytes
    correlation_id: bytes


class ForwardedCall(NamedTuple):
    """A call for its next receiver; its body may still be arriving.

    Attributes:
        call: The call as it was received.
        context: Context for the receiver.
        address: Address of the receiver; used if the call has no `Host`.
        peer_headers: Headers for another node; None towards a backend server.
    """

    call: inbound_call.InboundCall
    context: request_context.RequestContext
    address: socket_address.SocketAddress
    peer_headers: PeerHeaders | None

    def encode(self) -> bytes:
        """Encodes the head, and the body if all of it has been read."""
        return _encode(*self)


def _encode(
    call: inbound_call.InboundCall,
    context: request_context.RequestContext,
    address: socket_address.SocketAddress,
    peer_headers: PeerHeaders | None,
) -> bytes:
    head = call.head
    encoded_parts = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    if peer_headers is not None:
        # First, so that a rejection for the length of the headers repeats it.
        encoded_parts.append(
            b"%b: %b\r\n" % (correlation.HEADER, peer_headers.correlation_id)
        )
    has_host = False
    for name, value in headers.forwardable(head.headers):
        if name in REQUEST_HEADERS:
            continue
        has_host = has_host or name == b"host"
        encoded_parts.append(b"%b: %b\r\n" % (name, value))
    if not has_host:
        host = address.host.encode()
        encoded_parts.append(b"host: %b:%d\r\n" % (host, address.port))
    encoded_parts.append(
        b"cranberrymux-context: %b\r\ncranberrymux-request-id: %b\r\n"
        % (header_codec.encode(context), context.request_id.encode())
    )
    if peer_headers is not None:
        encoded_parts.append(
            b"cranberrymux-key: %b\r\ncranberrymux-configuration: %d\r\n"
            b"cranberrymux-service: %b\r\ncranberrymux-endpoint: %b\r\n"
            % peer_headers[:4]
        )
    encoded_parts.append(_encode_framing(call))
    if call.is_body_complete:
        encoded_parts.append(call.buffered_body())
    return b"".join(encoded_parts)


def _encode_framing(call: inbound_call.InboundCall) -> bytes:
    if not call.is_body_complete:
        return body_framing.encode_streamed(call.head)
    if call.head.mode is body_mode.BodyMode.NONE:
        return b"\r\n"
    return b"content-length: %d\r\n\r\n" % call.body_length
