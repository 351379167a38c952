"""The calls that operators and backend servers make to a control instance."""

import hashlib

import structlog
from twisted.internet import defer

from cranberrymux.control import operator_port
from cranberrymux.control import route_changes
from cranberrymux.decisions.routes import route_document
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits as limits_module
from cranberrymux.node.http import server_factory
from cranberrymux.platform import answers
from cranberrymux.platform import configuration_format
from cranberrymux.platform import paths

MAXIMUM_BODY_BYTES = 8 << 20
_Verdict = route_changes.PutVerdict
_STATUS = {
    _Verdict.ACCEPTED: 200,
    _Verdict.CONFLICT: 412,
    _Verdict.INVALID: 400,
    _Verdict.UNAVAILABLE: 503,
}


class ControlPort:
    """Handles the calls of the control address."""

    def __init__(self) -> None:
        """Starts without parts; `listen` brings them."""
        self._parts: operator_port.ControlParts | None = None
        self._events = structlog.get_logger()

    def listen(self, parts: operator_port.ControlParts) -> None:
        """Begins to take calls."""
        self._parts = parts
        limits = limits_module.Limits(
            body_bytes=MAXIMUM_BODY_BYTES, buffered_bytes=MAXIMUM_BODY_BYTES
        )
        parts.reactor.listenTCP(
            parts.settings.operator_port,
            server_factory.ServerFactory(self, limits),
            interface=parts.settings.address,
        )

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers one call."""
        path = call.head.target.partition(b"?")[0]
        if path == paths.CONFIGURATION and call.head.method == b"GET":
            self._get_configuration(call)
        elif path == paths.CONFIGURATION and call.head.method == b"PUT":
            defer.ensureDeferred(self._put_configuration(call)).addErrback(
                self._report_fault, call
            )
        elif path.startswith(paths.INSTANCES_PREFIX):
            # Only the node beside a backend server can vouch for it.
            answers.answer(call, 503, {"error": "ask the node beside you"})
        else:
            answers.answer(call, 404, {"error": "no such call"})

    def _get_configuration(self, call: inbound_call.InboundCall) -> None:
        parts = self._parts
        assert parts is not None
        if not parts.log.vouched_ms():
            answers.answer(call, 503, {"error": "no contact with a quorum"})
            return
        text = parts.machine.configuration.document
        document = route_document.load(text)
        if isinstance(document, route_document.RouteDocumentError):
            answers.answer(call, 503, {"error": "no configuration yet"})
            return
        json_type = (b"content-type", b"application/json")
        call.answer(200, [json_type], document.source.encode())

    async def _put_configuration(self, call: inbound_call.InboundCall) -> None:
        parts = self._parts
        assert parts is not None
        body = call.held_body()
        said = headers_module.find(call.head.headers, b"if-match") or b""
        asked = configuration_format.decode(body)
        if isinstance(asked, route_document.RouteDocumentError):
            self._answer_put(call, 400, asked.detail, 0)
            return
        base = said.strip(b'" ')
        result = await route_changes.RouteChanges(parts).put(
            asked,
            int(base) if base.isdigit() else None,
            hashlib.sha256(base + b"\n" + body).hexdigest(),
        )
        if result.verdict is route_changes.PutVerdict.ASK_LEADER:
            self._redirect(call, parts.log.leader())
            return
        self._answer_put(
            call, _STATUS[result.verdict], result.detail, asked.label
        )

    def _redirect(self, call: inbound_call.InboundCall, leader: str) -> None:
        assert self._parts is not None
        if not leader:
            answers.answer(call, 503, {"error": "no leader is known"})
            return
        port = self._parts.settings.operator_port
        # Control instances are named after their IP numbers.
        target = call.head.target.decode("latin-1")
        location = f"http://{leader}:{port}{target}".encode()
        answers.answer(call, 307, {"leader": leader}, (b"location", location))

    def _answer_put(
        self,
        call: inbound_call.InboundCall,
        status: int,
        detail: str,
        label: int,
    ) -> None:
        self._events.info(
            "change-answered", label=label, status=status, detail=detail
        )
        answers.answer(call, status, {"detail": detail})

    def _report_fault(
        self, failure: object, call: inbound_call.InboundCall
    ) -> None:
        self._events.error("fault", error=str(failure))
        answers.answer(call, 503, {"error": "internal fault"})
