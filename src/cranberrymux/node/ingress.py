"""Takes calls from clients and other nodes to the backend server."""

import hmac

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import backend_server
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import ingress_call
from cranberrymux.node import ingress_calls
from cranberrymux.node import refusal_answer
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call


class Ingress:
    """Implements `call_handler.CallHandler` for the ingress port."""

    def __init__(self, node: environment.Environment) -> None:
        """Starts without a backend server."""
        self._node = node
        self._backend: backend_server.BackendServer | None = None

    @property
    def backend(self) -> backend_server.BackendServer | None:
        """The announced backend server; None if there is none."""
        return self._backend

    def set_backend(self, backend: backend_server.BackendServer | None) -> None:
        """Takes the news that the backend server announced itself or went."""
        self._backend = backend

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts a call, or refuses it at once."""
        backend = self._backend
        if backend is None:
            self._refuse(
                call,
                refusal.Refusal(
                    answer_kind.AnswerKind.NOT_RUN,
                    refusal_reason.RefusalReason.NOT_STARTED,
                    "no backend server has announced itself here",
                    self._node.retry_after_ms(),
                ),
            )
            return
        head_headers = call.head.headers
        is_peer = self._is_peer(head_headers)
        rules = self._decide_rules(call, backend, is_peer)
        context = self._make_context(head_headers, rules, is_peer)
        if isinstance(context, refusal.Refusal):
            self._refuse(call, context)
            return
        earlier = self._node.ingress_calls.find(context)
        if earlier is not None:
            self._join(earlier, call, context)
            return
        work = ingress_call.IngressCall(
            self._node, call, context, rules, backend
        )
        self._node.ingress_calls.add(work)
        work.start()

    def _is_peer(self, head_headers: headers.HeaderList) -> bool:
        key = headers.find(head_headers, b"cranberrymux-key")
        return key is not None and hmac.compare_digest(key, self._node.key)

    def _decide_rules(
        self,
        call: inbound_call.InboundCall,
        backend: backend_server.BackendServer,
        is_peer: bool,
    ) -> treatment.Treatment:
        principal = "" if is_peer else self._read_principal(call)
        return self._node.policy.decide(
            backend.service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            principal,
        )

    def _read_principal(self, call: inbound_call.InboundCall) -> str:
        return entry_context.read_principal(call.head.headers)

    def _make_context(
        self,
        head_headers: headers.HeaderList,
        rules: treatment.Treatment,
        is_peer: bool,
    ) -> request_context.RequestContext | refusal.Refusal:
        if not is_peer:
            return entry_context.make_entry_context(
                head_headers,
                rules,
                self._node.settings.default_timeout_ms,
                self._node.clock.now_unix_ms(),
                self._node.generator,
            )
        value = headers.find(head_headers, b"cranberrymux-context")
        if value is None:
            return entry_context.refuse_bad("cranberrymux-context is missing")
        context = header_codec.decode(value)
        if isinstance(context, context_error.ContextError):
            return entry_context.refuse_bad(
                f"cranberrymux-context: {context.detail}"
            )
        return context

    def _join(
        self,
        earlier: ingress_calls.OpenCall,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> None:
        if earlier.is_same_request(call, context):
            earlier.join(call)
            return
        self._refuse(
            call,
            refusal.Refusal(
                answer_kind.AnswerKind.NOT_RUN,
                refusal_reason.RefusalReason.ID_REUSED,
                "the request id belongs to another call that is running",
            ),
            context.request_id,
        )

    def _refuse(
        self,
        call: inbound_call.InboundCall,
        one: refusal.Refusal,
        request_id: str = "",
    ) -> None:
        encoded = refusal_answer.encode_refusal(one, request_id)
        call.answer(encoded.status, encoded.headers, encoded.body)
