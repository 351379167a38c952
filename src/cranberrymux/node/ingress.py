"""Takes calls from clients and other nodes to the backend server."""

import hmac

import structlog

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import backend_server
from cranberrymux.node import entry_call
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import ingress_call
from cranberrymux.node import ingress_calls
from cranberrymux.node import peer_messages
from cranberrymux.node import refusal_answer
from cranberrymux.node import rule_check
from cranberrymux.node import version_gate
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call
from cranberrymux.telemetry import event

_Reason = refusal_reason.RefusalReason

_log = structlog.get_logger()


class Ingress:
    """Implements `call_handler.CallHandler` for the ingress port."""

    def __init__(self, node: environment.Environment) -> None:
        """Starts without a backend server."""
        self._node = node
        self._backend: backend_server.BackendServer | None = None
        self._messages = peer_messages.PeerMessages(node)
        self._gate = version_gate.VersionGate(node.deadlines, node.clock)
        self._wrong_keys = 0
        self._is_configured = False
        self._is_draining = False

    @property
    def backend(self) -> backend_server.BackendServer | None:
        """The announced backend server; None if there is none."""
        return self._backend

    @property
    def is_configured(self) -> bool:
        """True once a control instance has told the configuration."""
        return self._is_configured

    def set_backend(self, backend: backend_server.BackendServer | None) -> None:
        """Takes the news that the backend server announced itself or went."""
        self._backend = backend

    def set_draining(self) -> None:
        """Sends clients' requests to other endpoints from now on."""
        self._is_draining = True

    def version_in_force(self, version: int) -> None:
        """Takes note that a control instance has told the configuration."""
        self._is_configured = True
        self._gate.version_in_force(version)

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts a call, or refuses it at once."""
        key = headers.find(call.head.headers, b"cranberrymux-key")
        if key is None:
            self._handle_entry(call)
            return
        if not hmac.compare_digest(key, self._node.key):
            self._refuse_key(call)
            return
        if self._messages.take(call):
            return
        version = _read_version(call.head.headers)
        if version <= self._node.policy.version:
            self._handle_peer(call)
            return
        self._gate.wait(version, lambda ready: self._gate_opened(call, ready))
        self._node.versions.version_met(version)

    def _gate_opened(
        self, call: inbound_call.InboundCall, is_ready: bool
    ) -> None:
        if call.is_answered:
            # Its caller has gone while it waited.
            return
        if is_ready:
            self._handle_peer(call)
            return
        self._refuse(
            call,
            self._not_run(
                _Reason.CONFIGURATION_STALE,
                "a newer configuration is in force elsewhere",
            ),
        )

    # Calls of other nodes.

    def _handle_peer(self, call: inbound_call.InboundCall) -> None:
        backend = self._backend
        if backend is None or not self._is_configured:
            self._refuse(call, self._not_started())
            return
        if not self._is_for_here(call.head.headers, backend):
            detail = f"this is {self._node.settings.node_id}"
            self._refuse(call, self._not_run(_Reason.NOT_STARTED, detail))
            return
        value = headers.find(call.head.headers, b"cranberrymux-context")
        if value is None:
            self._refuse(
                call, entry_context.refuse_bad("cranberrymux-context missing")
            )
            return
        context = header_codec.decode(value)
        if isinstance(context, context_error.ContextError):
            detail = f"cranberrymux-context: {context.detail}"
            self._refuse(call, entry_context.refuse_bad(detail))
            return
        rules = self._decide(call, backend, context.principal)
        refused = rule_check.check(self._node, rules)
        if refused is not None:
            self._refuse(call, refused, context.request_id)
            return
        self._start(call, context, rules, backend)

    # Requests of clients.

    def _handle_entry(self, call: inbound_call.InboundCall) -> None:
        backend = self._backend
        if backend is None or not self._is_configured:
            self._refuse(call, self._not_started())
            return
        principal = entry_context.read_principal(call.head.headers)
        rules = self._decide(call, backend, principal)
        context = self._make_entry_context(call, rules)
        if isinstance(context, refusal.Refusal):
            self._refuse(call, context)
            return
        earlier = self._node.ingress_calls.find(context)
        if earlier is not None:
            self._join(earlier, call, context)
            return
        granted = self._node.grants.grant(
            self._node.clock.now_s(), context.principal, context.request_id
        )
        context = context._replace(
            retry_budget=min(granted, rules.retry_budget)
        )
        refused = rule_check.check(self._node, rules)
        if refused is None and not self._is_draining:
            self._start(call, context, rules, backend)
            return
        if refused is not None and refused.reason is not _Reason.NO_PLACE:
            self._refuse(call, refused, context.request_id)
            return
        entry_call.route_elsewhere(
            self._node, call, backend.service, context, rules
        )

    def _make_entry_context(
        self, call: inbound_call.InboundCall, rules: treatment.Treatment
    ) -> request_context.RequestContext | refusal.Refusal:
        return entry_context.make_entry_context(
            call.head.headers,
            rules,
            self._node.settings.default_timeout_ms,
            self._node.clock.now_unix_ms(),
            self._node.generator,
        )

    # Both.

    def _start(
        self,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
        rules: treatment.Treatment,
        backend: backend_server.BackendServer,
    ) -> None:
        earlier = self._node.ingress_calls.find(context)
        if earlier is not None:
            self._join(earlier, call, context)
            return
        work = ingress_call.IngressCall(
            self._node, call, context, rules, backend
        )
        self._node.ingress_calls.add(work)
        work.start()

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
                _Reason.ID_REUSED,
                "the request id belongs to another call that is running",
            ),
            context.request_id,
        )

    def _is_for_here(
        self,
        head_headers: headers.HeaderList,
        backend: backend_server.BackendServer,
    ) -> bool:
        """False if the address has passed to another endpoint."""
        service = headers.find(head_headers, b"cranberrymux-service")
        endpoint_id = headers.find(head_headers, b"cranberrymux-endpoint")
        return (
            service == backend.service.encode()
            and endpoint_id == self._node.settings.node_id.encode()
        )

    def _refuse_key(self, call: inbound_call.InboundCall) -> None:
        self._wrong_keys += 1
        _log.warning(event.Event.WRONG_CLUSTER_KEY, count=self._wrong_keys)
        self._refuse(
            call, entry_context.refuse_bad("cranberrymux-key is not valid")
        )

    def _decide(
        self,
        call: inbound_call.InboundCall,
        backend: backend_server.BackendServer,
        principal: str,
    ) -> treatment.Treatment:
        return self._node.policy.decide(
            backend.service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            principal,
        )

    def _not_started(self) -> refusal.Refusal:
        if self._backend is None:
            detail = "no backend server has announced itself here"
        else:
            detail = "no control instance has told the configuration yet"
        return self._not_run(_Reason.NOT_STARTED, detail)

    def _not_run(self, reason: _Reason, detail: str) -> refusal.Refusal:
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            reason,
            detail,
            self._node.retry_after_ms(),
        )

    def _refuse(
        self,
        call: inbound_call.InboundCall,
        one: refusal.Refusal,
        request_id: str = "",
    ) -> None:
        encoded = refusal_answer.encode_refusal(one, request_id)
        call.answer(encoded.status, encoded.headers, encoded.body)


def _read_version(head_headers: headers.HeaderList) -> int:
    value = headers.find(head_headers, b"cranberrymux-configuration")
    if value is None or not value.isdigit():
        return 0
    return int(value)
