"""Receives the calls of clients and other nodes to the backend server."""

import hmac

import structlog

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal as refusal_module
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.models import whole_number
from cranberrymux.node import backend_server
from cranberrymux.node import eligibility_check
from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import ingress_call
from cranberrymux.node import ingress_calls
from cranberrymux.node import peer_message_handler
from cranberrymux.node import peer_request
from cranberrymux.node import received_context
from cranberrymux.node import refusal_answer
from cranberrymux.node import rerouting
from cranberrymux.node import version_gate
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call
from cranberrymux.telemetry import event

_Reason = refusal_reason.RefusalReason

_log = structlog.get_logger()


class Ingress:
    """Validates the calls at the ingress port and starts or refuses them.

    A call with a cluster key comes from another node, all others from clients.
    Implements `call_handler.CallHandler`.
    """

    def __init__(self, node: environment.Environment) -> None:
        """Starts without a backend server."""
        self._node = node
        self._backend: backend_server.BackendServer | None = None
        self._peer_message_handler = peer_message_handler.PeerMessageHandler(
            node
        )
        self._version_gate = version_gate.VersionGate(
            node.deadlines, node.clock
        )
        self._wrong_key_count = 0
        self._is_configured = False
        self._is_draining = False

    @property
    def backend(self) -> backend_server.BackendServer | None:
        """The announced backend server; None if there is none."""
        return self._backend

    @property
    def is_configured(self) -> bool:
        """True once a control instance has confirmed a configuration."""
        return self._is_configured

    def set_backend(self, backend: backend_server.BackendServer | None) -> None:
        """Sets the backend server that calls go to; None refuses them."""
        self._backend = backend

    def set_draining(self) -> None:
        """Routes client requests to other endpoints from now on."""
        self._is_draining = True

    def version_in_force(self, version: int) -> None:
        """Records a confirmed version and starts calls that waited for it."""
        self._is_configured = True
        self._version_gate.version_in_force(version)

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts a call, or refuses it at once."""
        key = headers.find(call.head.headers, peer_request.KEY_HEADER)
        if key is None:
            self._handle_client_request(call)
            return
        if not hmac.compare_digest(key, self._node.cluster_key):
            self._refuse_wrong_key(call)
            return
        if self._peer_message_handler.handle(call):
            return
        version = _read_version(call.head.headers)
        if version <= self._node.policy.version:
            self._handle_peer_call(call)
            return
        self._version_gate.wait(
            version, lambda is_ready: self._version_wait_ended(call, is_ready)
        )
        self._node.version_listener.newer_version_seen(version)

    def _version_wait_ended(
        self, call: inbound_call.InboundCall, is_ready: bool
    ) -> None:
        if call.is_answered:
            # The caller disconnected while the call waited.
            return
        if is_ready:
            self._handle_peer_call(call)
            return
        refusal_answer.send(
            call,
            self._node.make_not_run(
                _Reason.CONFIGURATION_STALE,
                "this node does not have the newer configuration of the caller",
            ),
        )

    # Calls from other nodes.

    def _handle_peer_call(self, call: inbound_call.InboundCall) -> None:
        backend = self._backend
        if backend is None or not self._is_configured:
            refusal_answer.send(call, self._build_not_started())
            return
        if not self._is_for_this_endpoint(call.head.headers, backend):
            detail = f"the call is not for {self._node.settings.node_id}"
            refusal_answer.send(
                call, self._node.make_not_run(_Reason.NOT_STARTED, detail)
            )
            return
        context = received_context.read(call.head.headers)
        if context is None:
            context = entry_context.make_bad_request_refusal(
                "cranberrymux-context is missing"
            )
        if isinstance(context, refusal_module.Refusal):
            refusal_answer.send(call, context)
            return
        decision = self._decide(call, backend, context.principal)
        refused = eligibility_check.check(self._node, decision)
        if refused is not None:
            refusal_answer.send(call, refused, context.request_id)
            return
        self._start(call, context, decision, backend)

    # Requests from clients.

    def _handle_client_request(self, call: inbound_call.InboundCall) -> None:
        backend = self._backend
        if backend is None or not self._is_configured:
            refusal_answer.send(call, self._build_not_started())
            return
        principal = entry_context.read_principal(call.head.headers)
        decision = self._decide(call, backend, principal)
        context = self._make_entry_context(call, decision)
        if isinstance(context, refusal_module.Refusal):
            refusal_answer.send(call, context)
            return
        earlier = self._node.ingress_calls.find(context)
        if earlier is not None:
            self._join(earlier, call, context)
            return
        granted = self._node.grants.grant(
            self._node.clock.now_s(), context.principal, context.request_id
        )
        context = context._replace(
            retry_budget=min(granted, decision.retry_budget)
        )
        refused = eligibility_check.check(self._node, decision)
        if refused is None and not self._is_draining:
            self._start(call, context, decision, backend)
            return
        if refused is not None and refused.reason is not _Reason.NO_PLACE:
            refusal_answer.send(call, refused, context.request_id)
            return
        rerouting.route_elsewhere(
            self._node, call, backend.service, context, decision
        )

    def _make_entry_context(
        self,
        call: inbound_call.InboundCall,
        decision: policy_decision.PolicyDecision,
    ) -> request_context.RequestContext | refusal_module.Refusal:
        return entry_context.make_entry_context(
            call.head.headers,
            decision,
            self._node.settings.default_timeout_ms,
            self._node.clock.now_unix_ms(),
            self._node.generator,
        )

    # Calls from either.

    def _start(
        self,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
        decision: policy_decision.PolicyDecision,
        backend: backend_server.BackendServer,
    ) -> None:
        earlier = self._node.ingress_calls.find(context)
        if earlier is not None:
            self._join(earlier, call, context)
            return
        new_call = ingress_call.IngressCall(
            self._node, call, context, decision, backend
        )
        self._node.ingress_calls.add(new_call)
        new_call.start()

    def _join(
        self,
        earlier: ingress_calls.OpenCall,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> None:
        if earlier.is_same_request(call, context):
            earlier.join(call)
            return
        refusal_answer.send(
            call,
            refusal_module.Refusal(
                answer_kind.AnswerKind.NOT_RUN,
                _Reason.ID_REUSED,
                "the request id belongs to a different call that is still open",
            ),
            context.request_id,
        )

    def _is_for_this_endpoint(
        self,
        head_headers: headers.HeaderList,
        backend: backend_server.BackendServer,
    ) -> bool:
        """True if the call names this endpoint and its service.

        It names another if the address belonged to another endpoint before.
        """
        service = headers.find(head_headers, b"cranberrymux-service")
        endpoint_id = headers.find(head_headers, b"cranberrymux-endpoint")
        return (
            service == backend.service.encode()
            and endpoint_id == self._node.settings.node_id.encode()
        )

    def _refuse_wrong_key(self, call: inbound_call.InboundCall) -> None:
        self._wrong_key_count += 1
        _log.warning(event.Event.WRONG_CLUSTER_KEY, count=self._wrong_key_count)
        refusal_answer.send(
            call,
            entry_context.make_bad_request_refusal(
                "cranberrymux-key is not valid"
            ),
        )

    def _decide(
        self,
        call: inbound_call.InboundCall,
        backend: backend_server.BackendServer,
        principal: str,
    ) -> policy_decision.PolicyDecision:
        return self._node.policy.decide(
            backend.service,
            call.head.method.decode("latin-1"),
            call.head.target.decode("latin-1"),
            principal,
        )

    def _build_not_started(self) -> refusal_module.Refusal:
        if self._backend is None:
            detail = "no backend server has announced itself at this node"
        else:
            detail = "no control instance has confirmed a configuration yet"
        return self._node.make_not_run(_Reason.NOT_STARTED, detail)


def _read_version(head_headers: headers.HeaderList) -> int:
    value = headers.find(head_headers, b"cranberrymux-configuration")
    return whole_number.decode(value) or 0
