"""The operators' HTTP API."""

from collections.abc import Callable
import dataclasses
import hmac
from typing import Any

import klein
import structlog
from twisted.web import http

from cranberrymux.control import change_body
from cranberrymux.control import command_log
from cranberrymux.control import control_settings
from cranberrymux.control import conversions
from cranberrymux.control import node_service
from cranberrymux.control import operator_answers
from cranberrymux.control import state_machine
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.models import strict_json
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire.gen.messages import ttypes

MAXIMUM_BODY_BYTES = 524_288
MAXIMUM_DRAIN_BYTES = 4096
MAXIMUM_HISTORY_RECORDS = 1000

_HTTP_STATUS = {
    change_verdict.ChangeVerdict.ACCEPTED: http.OK,
    change_verdict.ChangeVerdict.CONFLICT: http.CONFLICT,
    change_verdict.ChangeVerdict.INVALID: http.BAD_REQUEST,
}


class OperatorApi:
    """Request handlers under /v1.

    Each of them requires the header `Authorization: Bearer TOKEN`.

    Attributes:
        app: The routes, as a klein application.
    """

    app = klein.Klein()

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        token: str,
        *,
        machine: state_machine.StateMachine,
        log: command_log.CommandLog,
        service: node_service.NodeService,
        metrics: metrics_sink.MetricsSink,
        now_s: Callable[[], float],
    ) -> None:
        """Creates the API without a port.

        Args:
            settings: The instance's settings.
            token: Bearer token that every request must present.
            machine: The replicated state; only read here.
            log: Commits changes.
            service: Owns the directory and the counters.
            metrics: Receives the verdicts on changes.
            now_s: Monotonic clock, the one of `service`.
        """
        self._settings = settings
        self._token = token.encode()
        self._machine = machine
        self._log = log
        self._service = service
        self._metrics = metrics
        self._now_s = now_s
        self._events = structlog.get_logger()

    @app.route("/v1/configuration", methods=["GET"])
    def get_configuration(self, request: Any) -> bytes:
        """Answers with the document of the last or the requested version."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        if not self._log.vouched_ms():
            return operator_answers.refuse_unvouched(request)
        configuration = self._machine.configuration
        version = operator_answers.read_number(
            request, b"version", configuration.version
        )
        document = configuration.document_of(version)
        if document is None:
            return operator_answers.answer(
                request, http.NOT_FOUND, {"detail": "version is not kept"}
            )
        return operator_answers.answer(
            request, http.OK, {"version": version, "document": document}
        )

    @app.route("/v1/configuration", methods=["PUT"])
    async def put_configuration(self, request: Any) -> bytes:
        """Commits a replacement of the whole document."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        self._service.counters.changes += 1
        requested = change_body.parse(
            request.content.read(MAXIMUM_BODY_BYTES + 1)
        )
        if isinstance(requested, change_body.ChangeBodyError):
            return operator_answers.answer(
                request, http.BAD_REQUEST, requested._asdict()
            )
        command = ttypes.Command(
            at_ms=0, change=conversions.encode_change(requested)
        )
        command_answer = await self._log.propose(command)
        if not command_answer.committed:
            return operator_answers.refuse_uncommitted(request, command_answer)
        answer = conversions.decode_change_answer(command_answer.change)
        self._events.info(
            "change-answered",
            change_id=requested.change_id,
            author=requested.author,
            verdict=answer.verdict.value,
            version=answer.record.version if answer.record else None,
        )
        self._metrics.count(metric.Metric.CHANGES, 1, answer.verdict.value)
        record = answer.record._asdict() if answer.record else None
        body = {
            "verdict": answer.verdict.value,
            "record": record,
            "detail": answer.detail,
        }
        return operator_answers.answer(
            request, _HTTP_STATUS[answer.verdict], body
        )

    @app.route("/v1/history", methods=["GET"])
    def get_history(self, request: Any) -> bytes:
        """Answers with the last accepted changes, newest first."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        if not self._log.vouched_ms():
            return operator_answers.refuse_unvouched(request)
        limit = min(
            operator_answers.read_number(request, b"limit", 20),
            MAXIMUM_HISTORY_RECORDS,
        )
        records = self._machine.configuration.history(limit)
        body = {"changes": [record._asdict() for record in records]}
        return operator_answers.answer(request, http.OK, body)

    @app.route("/v1/drain", methods=["POST"])
    def post_drain(self, request: Any) -> bytes:
        """Requests that a node drain its backend server."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        try:
            body = request.content.read(MAXIMUM_DRAIN_BYTES)
            node_id = strict_json.load(body)["node_id"]
        except (ValueError, KeyError, TypeError):
            detail = 'expected {"node_id": NAME}'
            return operator_answers.answer(
                request, http.BAD_REQUEST, {"detail": detail}
            )
        if not self._service.nodes.request_drain(str(node_id), self._now_s()):
            detail = f"no live node {node_id}"
            return operator_answers.answer(
                request, http.NOT_FOUND, {"detail": detail}
            )
        self._events.info("drain-requested", node_id=str(node_id))
        return operator_answers.answer(request, http.OK, {"node_id": node_id})

    @app.route("/v1/accounts", methods=["GET"])
    def get_accounts(self, request: Any) -> bytes:
        """Answers with the use of each account's quota, if this one leads."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        body = self._service.quotas.make_report()
        return operator_answers.answer(request, http.OK, body)

    @app.route("/v1/status", methods=["GET"])
    def get_status(self, request: Any) -> bytes:
        """Answers with the state of this instance, even without a quorum."""
        if not self._has_valid_token(request):
            return operator_answers.refuse_token(request)
        now_s = self._now_s()
        service = self._service
        records = service.directory.records()
        body = {
            "control_id": self._settings.control_id,
            "region": self._settings.region,
            "zone": self._settings.zone,
            "role": self._log.role(),
            "leader": self._log.leader(),
            "log": self._log.describe(),
            "vouched_ms": self._log.vouched_ms(),
            "configuration_version": self._machine.configuration.version,
            "nodes": [
                {
                    "node_id": node.node_id,
                    "incarnation": node.incarnation,
                    "configuration_version": node.configuration_version,
                }
                for node in service.nodes.live(now_s)
            ],
            "endpoints": [
                {**record._asdict(), "state": record.state.name.lower()}
                for record in records
            ],
            "unknown_outcomes": [
                {
                    "request_id": entry.claim.request_id,
                    "call_id": entry.claim.call_id,
                    "owner": entry.claim.owner,
                    "principal": entry.claim.principal,
                    "granted_ms": entry.granted_ms,
                }
                for entry in self._machine.claims.unknown_outcomes()
            ],
            "counters": dataclasses.asdict(service.counters),
        }
        return operator_answers.answer(request, http.OK, body)

    def _has_valid_token(self, request: Any) -> bool:
        """True if a request presents the operators' token; else logs it."""
        header = request.getHeader(b"authorization") or b""
        given_token = header.removeprefix(b"Bearer ").strip()
        if hmac.compare_digest(given_token, self._token):
            return True
        self._service.counters.wrong_tokens += 1
        self._events.warning(
            "wrong-operator-token",
            peer=request.getClientAddress().host,
            count=self._service.counters.wrong_tokens,
        )
        return False
