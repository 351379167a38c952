"""Takes the calls that the backend server beside this node makes."""

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import egress_call
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import refusal_answer
from cranberrymux.node import running_call
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call


class Egress:
    """Implements `call_handler.CallHandler` for the egress port."""

    def __init__(self, node: environment.Environment) -> None:
        """Keeps what calls work with."""
        self._node = node

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts a call, or refuses it at once."""
        service = headers.find(call.head.headers, b"cranberrymux-service")
        if service is None:
            self._refuse(
                call, entry_context.refuse_bad("cranberrymux-service missing")
            )
            return
        parent = self._find_parent(call, service.decode("latin-1"))
        if isinstance(parent, refusal.Refusal):
            self._refuse(call, parent)
            return
        rules = self._node.policy.decide(
            service.decode("latin-1"),
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            parent.context.principal,
        )
        egress_call.EgressCall(
            self._node, call, service.decode("latin-1"), parent, rules
        ).start()

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
            context._replace(retry_budget=0), self._node.clock.now_s()
        )

    def _make_root(
        self, call: inbound_call.InboundCall, service: str
    ) -> running_call.RunningCall | refusal.Refusal:
        rules = self._node.policy.decide(
            service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            entry_context.read_principal(call.head.headers),
        )
        context = entry_context.make_entry_context(
            call.head.headers,
            rules._replace(retry_budget=0),
            self._node.settings.default_timeout_ms,
            self._node.clock.now_unix_ms(),
            self._node.generator,
        )
        if isinstance(context, request_context.RequestContext):
            return running_call.RunningCall(context, self._node.clock.now_s())
        return context

    def _refuse(
        self, call: inbound_call.InboundCall, one: refusal.Refusal
    ) -> None:
        encoded = refusal_answer.encode_refusal(one, "")
        call.answer(encoded.status, encoded.headers, encoded.body)
