"""Handles the calls that the backend server of this node makes."""

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import derivation
from cranberrymux.models import refusal
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import received_context
from cranberrymux.node import refusal_answer
from cranberrymux.node import routed_call
from cranberrymux.node import running_call
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

_RANDOM_CHILD_NUMBER_FIRST = 1_000_000
_RANDOM_CHILD_NUMBER_END = 1_000_000_000


class Egress:
    """Implements `call_handler.CallHandler` for the egress port."""

    def __init__(self, node: environment.Environment) -> None:
        """Creates the handler.

        Args:
            node: Tasks and tables of the node.
        """
        self._node = node

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Routes a call to the service it names, or refuses it."""
        encoded_service = headers.find(
            call.head.headers, b"cranberrymux-service"
        )
        if encoded_service is None:
            refusal_answer.send(
                call,
                entry_context.make_bad_request_refusal(
                    "cranberrymux-service is missing"
                ),
            )
            return
        service = encoded_service.decode("latin-1")
        parent = self._find_parent(call, service)
        if isinstance(parent, refusal.Refusal):
            refusal_answer.send(call, parent)
            return
        self._start(call, service, parent)

    def _start(
        self,
        call: inbound_call.InboundCall,
        service: str,
        parent: running_call.RunningCall,
    ) -> None:
        now_s = self._node.clock.now_s()
        decision = self._decide(call, service, parent.context.principal)
        child_number = parent.next_child_number()
        context = derivation.child_context(
            parent.context,
            child_number,
            (now_s - parent.arrived_s) * 1000,
            0,
            once_only=decision.once_only,
            idempotent=decision.idempotent,
        )
        if isinstance(context, context_error.ContextError):
            refusal_answer.send(
                call, entry_context.make_bad_request_refusal(context.detail)
            )
            return
        routed = routed_call.RoutedCall(
            self._node, call, service, context, decision, parent
        )
        parent.add_child(now_s, routed)
        routed.start()

    def _decide(
        self, call: inbound_call.InboundCall, service: str, principal: str
    ) -> policy_decision.PolicyDecision:
        return self._node.policy.decide(
            service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            principal,
        )

    def _find_parent(
        self, call: inbound_call.InboundCall, service: str
    ) -> running_call.RunningCall | refusal.Refusal:
        context = received_context.read(call.head.headers)
        if context is None:
            return self._make_root_call(call, service)
        if isinstance(context, refusal.Refusal):
            return context
        running = self._node.running.find(context)
        if running is not None:
            return running
        # The parent has ended or runs at another node, so its retry budget is
        # not known here and its child calls get no retries.
        return running_call.RunningCall(
            context._replace(retry_budget=0),
            self._node.clock.now_s(),
            has_parent=False,
            first_child_number=self._draw_child_number(),
        )

    def _make_root_call(
        self, call: inbound_call.InboundCall, service: str
    ) -> running_call.RunningCall | refusal.Refusal:
        principal = entry_context.read_principal(call.head.headers)
        decision = self._decide(call, service, principal)
        context = entry_context.make_entry_context(
            call.head.headers,
            decision,
            self._node.settings.default_timeout_ms,
            self._node.clock.now_unix_ms(),
            self._node.generator,
        )
        if isinstance(context, refusal.Refusal):
            return context
        return running_call.RunningCall(
            context._replace(retry_budget=0),
            self._node.clock.now_s(),
            has_parent=False,
            first_child_number=self._draw_child_number(),
        )

    def _draw_child_number(self) -> int:
        """Draws the number of a call whose siblings are not known here.

        It is drawn at random from a range above the numbers counted from 1, so
        that it is unlikely to equal the number of a sibling.
        """
        return self._node.generator.randrange(
            _RANDOM_CHILD_NUMBER_FIRST, _RANDOM_CHILD_NUMBER_END
        )
