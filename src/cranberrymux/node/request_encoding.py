"""Encodes the requests that a node sends."""

from typing import NamedTuple

from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import request_context
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

# Headers of the system on requests; a node sets them anew on each hop.
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
    )
)
# Headers of the system on answers; a node sets them anew on each hop.
ANSWER_HEADERS = frozenset(
    (
        b"cranberrymux-answer",
        b"cranberrymux-request-id",
        b"cranberrymux-level",
        b"cranberrymux-unspent",
        b"cranberrymux-configuration",
        b"cranberrymux-load",
        b"cranberrymux-dependency-failed",
    )
)


class PeerProof(NamedTuple):
    """What a node says of itself to another node.

    Attributes:
        key: Proof that it is a node.
        configuration: Version that it has in force.
        service: Service that the call is for.
        endpoint_id: Endpoint that it is for; another must not run it.
    """

    key: bytes
    configuration: int
    service: bytes
    endpoint_id: bytes


def encode_request(
    call: inbound_call.InboundCall,
    context: request_context.RequestContext,
    address: connection_pool.Address,
    proof: PeerProof | None,
) -> bytes:
    """Encodes a call for its next receiver.

    Args:
        call: The call as it came.
        context: Context for the receiver.
        address: Where the receiver listens; used if there is no `Host`.
        proof: For other nodes; None towards backend servers.

    Returns:
        The head, and the body if it is held whole.
    """
    head = call.head
    lines = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    has_host = False
    for name, value in headers.forwardable(head.headers):
        if name in REQUEST_HEADERS:
            continue
        has_host = has_host or name == b"host"
        lines.append(b"%b: %b\r\n" % (name, value))
    if not has_host:
        host = address.host.encode()
        lines.append(b"host: %b:%d\r\n" % (host, address.port))
    lines.append(
        b"cranberrymux-context: %b\r\ncranberrymux-request-id: %b\r\n"
        % (header_codec.encode(context), context.request_id.encode())
    )
    if proof is not None:
        lines.append(
            b"cranberrymux-key: %b\r\ncranberrymux-configuration: %d\r\n"
            b"cranberrymux-service: %b\r\ncranberrymux-endpoint: %b\r\n" % proof
        )
    lines.append(_encode_framing(call))
    if call.is_body_complete:
        lines.append(call.buffered_body())
    return b"".join(lines)


def _encode_framing(call: inbound_call.InboundCall) -> bytes:
    head = call.head
    if call.is_body_complete:
        if head.mode is body_mode.BodyMode.NONE:
            return b"\r\n"
        return b"content-length: %d\r\n\r\n" % call.body_length
    if head.mode is body_mode.BodyMode.CHUNKED:
        return b"transfer-encoding: chunked\r\n\r\n"
    return b"content-length: %d\r\n\r\n" % head.content_length
