"""Builds the request that a node sends to the node of an endpoint."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import dialect as dialect_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import outgoing_request
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


def make(
    call: inbound_call.InboundCall,
    endpoint: endpoint_view.EndpointView,
    dialect: dialect_module.Dialect,
    left_ms: int,
    headers: headers_module.HeaderList,
) -> outgoing_request.OutgoingRequest:
    """Returns the request for one endpoint.

    Args:
        call: The request of the client.
        endpoint: The endpoint that is to run it.
        dialect: Names of the headers.
        left_ms: Milliseconds that the endpoint's node has.
        headers: Headers that do not depend on the endpoint; the others are
            added to them.
    """
    per_s = endpoint.rate_limit.per_s
    headers += (
        (dialect.deadline_ms, b"%d" % left_ms),
        (hop.TARGET, endpoint.record.backend_id.encode()),
    )
    if per_s is not None:
        headers.append((hop.KNOWN_RATE_LIMIT, hop.encode_rate_limit(per_s)))
    head = call.head
    return outgoing_request.OutgoingRequest(
        head.method, head.target, headers, call
    )
