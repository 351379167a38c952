"""A client's request that must run at another endpoint."""

from cranberrymux.decisions.configuration import treatment
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
    rules: treatment.Treatment,
) -> None:
    """Sends a request to another endpoint of the same service.

    Args:
        node: Tasks and tables of the node.
        call: The request as it came.
        service: The service of the backend server beside this node.
        context: Context of the request.
        rules: How the request is to be treated.
    """
    parent = running_call.RunningCall(context, node.clock.now_s())
    own = frozenset((node.settings.node_id,))
    routed_call.RoutedCall(
        node, call, service, context, rules, parent, own
    ).start()
