"""Takes the calls that the backend server beside this node makes."""

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import derivation
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import refusal
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import refusal_answer
from cranberrymux.node import routed_call
from cranberrymux.node import running_call
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

_UNKNOWN_PARENT_FIRST = 1_000_000
_UNKNOWN_PARENT_LAST = 1_000_000_000


class Egress:
    """Implements `call_handler.CallHandler` for the egress port."""

    def __init__(self, node: environment.Environment) -> None:
        """Keeps what calls work with."""
        self._node = node

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts a call, or refuses it at once."""
        name = headers.find(call.head.headers, b"cranberrymux-service")
        if name is None:
            self._refuse(
                call, entry_context.refuse_bad("cranberrymux-service missing")
            )
            return
        service = name.decode("latin-1")
        parent = self._find_parent(call, service)
        if isinstance(parent, refusal.Refusal):
            self._refuse(call, parent)
            return
        self._start(call, service, parent)

    def _start(
        self,
        call: inbound_call.InboundCall,
        service: str,
        parent: running_call.RunningCall,
    ) -> None:
        now_s = self._node.clock.now_s()
        rules = self._decide(call, service, parent.context.principal)
        number = parent.next_child_number()
        context = derivation.child_context(
            parent.context,
            number,
            (now_s - parent.arrived_s) * 1000,
            0,
            once_only=rules.once_only,
            idempotent=rules.idempotent,
        )
        if isinstance(context, context_error.ContextError):
            self._refuse(call, entry_context.refuse_bad(context.detail))
            return
        routed = routed_call.RoutedCall(
            self._node, call, service, context, rules, parent
        )
        parent.add_child(now_s, routed)
        routed.start()

    def _decide(
        self, call: inbound_call.InboundCall, service: str, principal: str
    ) -> treatment.Treatment:
        return self._node.policy.decide(
            service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            principal,
        )

    def _find_parent(
        self, call: inbound_call.InboundCall, service: str
    ) -> running_call.RunningCall | refusal.Refusal:
        value = headers.find(call.head.headers, b"cranberrymux-context")
        if value is None:
            return self._make_root(call, service)
        context = header_codec.decode(value)
        if isinstance(context, context_error.ContextError):
            return entry_context.refuse_bad(
                f"cranberrymux-context: {context.detail}"
            )
        running = self._node.running.find(context)
        if running is not None:
            return running
        # The parent has ended or ran elsewhere: no retries are left for it.
        return running_call.RunningCall(
            context._replace(retry_budget=0),
            self._node.clock.now_s(),
            has_parent=False,
            first_child_number=self._draw_child_number(),
        )

    def _make_root(
        self, call: inbound_call.InboundCall, service: str
    ) -> running_call.RunningCall | refusal.Refusal:
        principal = entry_context.read_principal(call.head.headers)
        rules = self._decide(call, service, principal)
        context = entry_context.make_entry_context(
            call.head.headers,
            rules,
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
        """Numbers the child of a call whose other children are not known."""
        return self._node.generator.randrange(
            _UNKNOWN_PARENT_FIRST, _UNKNOWN_PARENT_LAST
        )

    def _refuse(
        self, call: inbound_call.InboundCall, one: refusal.Refusal
    ) -> None:
        encoded = refusal_answer.encode_refusal(one, "")
        call.answer(encoded.status, encoded.headers, encoded.body)
