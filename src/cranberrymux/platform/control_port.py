"""HTTP calls that a control instance answers on its operator port."""

import hashlib

import structlog
from twisted.internet import defer

from cranberrymux.control import operator_port
from cranberrymux.control import route_changes
from cranberrymux.control import stepwise
from cranberrymux.decisions.routes import route_document
from cranberrymux.models import json_fields
from cranberrymux.models import whole_number
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits as limits_module
from cranberrymux.node.http import read_budget
from cranberrymux.node.http import read_pacer
from cranberrymux.node.http import server_factory
from cranberrymux.platform import configuration_format
from cranberrymux.platform import json_answer
from cranberrymux.platform import paths

MAXIMUM_BODY_BYTES = 8 << 20
# Most bytes of all bodies that are read at once.
MAXIMUM_HELD_BYTES = 3 * MAXIMUM_BODY_BYTES
_MAXIMUM_DETAIL_CHARACTERS = 500  # Names in it may be of any length.
_MAXIMUM_LABEL_DIGITS = len(str(json_fields.MAXIMUM_INTEGER))
_Verdict = route_changes.PutVerdict
_STATUS = {
    _Verdict.ACCEPTED: 200,
    _Verdict.CONFLICT: 412,
    _Verdict.INVALID: 400,
    _Verdict.TOO_LARGE: 413,
    _Verdict.UNAVAILABLE: 503,
}


class ControlPort:
    """Serves the routing configuration and the use of accounts.

    `GET` reads the configuration, `PUT` replaces it.
    """

    def __init__(self) -> None:
        """Starts without a port; `listen` opens it."""
        self._parts: operator_port.ControlParts | None = None
        self._events = structlog.get_logger()

    def listen(self, parts: operator_port.ControlParts) -> None:
        """Opens the operator port.

        Args:
            parts: State and commands of the control instance.

        Raises:
            CannotListenError: The port is in use.
        """
        self._parts = parts
        limits = limits_module.Limits(
            body_bytes=MAXIMUM_BODY_BYTES, buffered_bytes=MAXIMUM_BODY_BYTES
        )
        parts.reactor.listenTCP(
            parts.settings.operator_port,
            server_factory.ServerFactory(
                self,
                limits,
                budget=read_budget.ReadBudget(
                    MAXIMUM_HELD_BYTES, self._log_shed
                ),
                pacer=read_pacer.ReadPacer(parts.reactor),
            ),
            interface=parts.settings.address,
        )

    def _log_shed(self, held_bytes: int) -> None:
        self._events.warning("connection-shed", held_bytes=held_bytes)

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Dispatches a call by path and method."""
        path = call.head.target.partition(b"?")[0]
        if path == paths.CONFIGURATION and call.head.method == b"GET":
            defer.ensureDeferred(self._get_configuration(call)).addErrback(
                self._answer_internal_error, call
            )
        elif path == paths.CONFIGURATION and call.head.method == b"PUT":
            defer.ensureDeferred(self._put_configuration(call)).addErrback(
                self._answer_internal_error, call
            )
        elif path == paths.ACCOUNTS and call.head.method == b"GET":
            assert self._parts is not None
            report = self._parts.service.quotas.make_report()
            json_answer.send(call, 200, report)
        elif path.startswith(paths.INSTANCES_PREFIX):
            # Only the node beside a backend server checks whether it is alive.
            json_answer.send(
                call,
                503,
                {"error": "send announcements to the local node"},
            )
        else:
            json_answer.send(call, 404, {"error": "unknown path or method"})

    async def _get_configuration(self, call: inbound_call.InboundCall) -> None:
        parts = self._parts
        assert parts is not None
        if not parts.log.vouched_ms():
            json_answer.send(call, 503, {"error": "no contact with a quorum"})
            return
        text = parts.machine.configuration.document
        head = await stepwise.run(
            parts.reactor, route_document.load_head_in_steps(text)
        )
        if isinstance(head, route_document.RouteDocumentError):
            json_answer.send(
                call, 503, {"error": "no configuration has been accepted yet"}
            )
            return
        content_type = (b"content-type", b"application/json")
        call.answer(200, [content_type], head.source.encode())

    async def _put_configuration(self, call: inbound_call.InboundCall) -> None:
        parts = self._parts
        assert parts is not None
        body = call.buffered_body()
        if_match = headers_module.find(call.head.headers, b"if-match") or b""
        document = await stepwise.run(
            parts.reactor, configuration_format.decode_in_steps(body)
        )
        if isinstance(document, route_document.RouteDocumentError):
            self._answer_put(call, 400, document.detail, 0)
            return
        base_label = if_match.strip(b'" ')
        result = await route_changes.RouteChanges(parts).put(
            document,
            whole_number.decode(base_label, _MAXIMUM_LABEL_DIGITS),
            hashlib.sha256(base_label + b"\n" + body).hexdigest(),
        )
        if result.verdict is route_changes.PutVerdict.ASK_LEADER:
            self._redirect(call, parts.log.leader())
            return
        self._answer_put(
            call, _STATUS[result.verdict], result.detail, document.label
        )

    def _redirect(self, call: inbound_call.InboundCall, leader: str) -> None:
        assert self._parts is not None
        if not leader:
            json_answer.send(
                call, 503, {"error": "no leader is known; retry later"}
            )
            return
        port = self._parts.settings.operator_port
        # The name of a control instance is its IP address.
        target = call.head.target.decode("latin-1")
        location = f"http://{leader}:{port}{target}".encode()
        json_answer.send(call, 307, {"leader": leader}, (b"location", location))

    def _answer_put(
        self,
        call: inbound_call.InboundCall,
        status: int,
        detail: str,
        label: int,
    ) -> None:
        detail = detail[:_MAXIMUM_DETAIL_CHARACTERS]
        self._events.info(
            "change-answered", label=label, status=status, detail=detail
        )
        json_answer.send(call, status, {"detail": detail})

    def _answer_internal_error(
        self, failure: object, call: inbound_call.InboundCall
    ) -> None:
        self._events.error("fault", error=str(failure))
        json_answer.send(call, 503, {"error": "internal error"})
