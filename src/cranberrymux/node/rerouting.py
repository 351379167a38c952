"""Routes a client's request to another endpoint if it may not run here."""

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.models import request_context
from cranberrymux.node import environment
from cranberrymux.node import routed_call
from cranberrymux.node import running_call
from cranberrymux.node.http import inbound_call


def route_elsewhere(
    node: environment.Environment,
    call: inbound_call.InboundCall,
    service: str,
    context: request_context.RequestContext,
    decision: policy_decision.PolicyDecision,
) -> None:
    """Routes a request to an endpoint of the service other than this node's.

    Args:
        node: Tasks and tables of the node.
        call: The request as it was received.
        service: Service of this node's backend server.
        context: Context of the request.
        decision: Class, limits and guarantees of the request.
    """
    parent = running_call.RunningCall(context, node.clock.now_s())
    own_endpoint_ids = frozenset((node.settings.node_id,))
    routed_call.RoutedCall(
        node, call, service, context, decision, parent, own_endpoint_ids
    ).start()
