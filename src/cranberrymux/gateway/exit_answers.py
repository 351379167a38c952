"""Answers of the hop port to the node that sent a request."""

from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import exit_owner
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


class ExitAnswers:
    """Answers one request, with what this node reports; counts and logs it.

    Attributes:
        request_id: Id of the request.
        digest: Digest of its content, which its resends share.
        route: Name of its route.
        is_resent: True if it was sent to another node before, which counted
            its work.
        backend_id: Id of the backend server that it was sent to; empty before.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        owner: exit_owner.ExitOwner,
        call: inbound_call.InboundCall,
        tree_context: hop.TreeContext,
    ) -> None:
        """Reads what the headers of the call name.

        Args:
            parts: Shared state of the gateway.
            owner: Owner of the slots, whose state the answers report.
            call: The request, as received.
            tree_context: What its headers tell of its tree.
        """
        self._parts = parts
        self._owner = owner
        self._call = call
        self._tree_context = tree_context
        first = call.head.headers.first
        self.request_id = first.get(parts.settings.dialect.request_id, b"")
        self.digest = first.get(hop.DIGEST, b"").decode("latin-1")
        self.route = first.get(hop.ROUTE, b"").decode("latin-1")
        self.is_resent = hop.RESENT in first
        self.backend_id = ""

    @property
    def is_started(self) -> bool:
        """True once the head of the answer was sent."""
        return self._call.is_head_sent

    def refuse(self, reason: bytes) -> None:
        """Answers that the request was not run here.

        Args:
            reason: One of the reasons of `hop.NOT_RUN`.
        """
        text = reason.decode("latin-1")
        now_s = self._parts.clock.now_s()
        self._parts.metrics.hops.labels(text).inc()
        self._parts.events.info(
            "request-refused-here",
            reason=text,
            request_id=self.request_id.decode("latin-1"),
            route=self.route,
            **self._owner.work.describe_load(),
        )
        report = self._owner.work.report_refusal(
            self._tree_context, self._find_offered_s(reason)
        )
        headers = [
            (self._parts.settings.dialect.request_id, self.request_id),
            (hop.NOT_RUN, reason),
            *self._owner.work.encode_load(now_s),
            (hop.WORK, work_report.encode(report)),
            *self._owner.limit.encode(),
            *self._owner.suspects.encode(self.digest),
        ]
        self._call.answer(503, headers, b"")

    def _find_offered_s(self, reason: bytes) -> float | None:
        """Returns the work for which the report of a refusal stands.

        What the backend server refuses says nothing of its room.
        """
        if reason == hop.BACKEND_FULL or self.is_resent:
            return 0.0
        if reason == hop.FULL:
            return self._owner.work.pressure.get_hold_s(self.route)
        return None

    def forward(
        self,
        head: answer_head.AnswerHead,
        body: bytes,
        work: bytes,
        now_s: float,
        *,
        is_failed_by_call: bool,
    ) -> None:
        """Passes on a whole answer of the backend server.

        Args:
            head: Head of the answer.
            body: The whole body.
            work: Encoded work of the request and its calls.
            now_s: Monotonic seconds.
            is_failed_by_call: True if it failed because of one of its calls.
        """
        self.count_status(head.status)
        headers = self._make_headers(head, work, is_failed_by_call, now_s)
        self._call.answer(head.status, headers, body)

    def start_streaming(
        self,
        head: answer_head.AnswerHead,
        body: bytes,
        now_s: float,
        *,
        is_failed_by_call: bool,
    ) -> None:
        """Passes on the head and first bytes of a long answer."""
        mode = head.mode
        if mode is body_mode.BodyMode.UNTIL_CLOSE:
            mode = body_mode.BodyMode.CHUNKED
        headers = self._make_headers(head, b"", is_failed_by_call, now_s)
        self._call.start_answer(head._replace(headers=headers, mode=mode))
        self._call.send_body(body)

    def count_status(self, status: int) -> None:
        """Counts an answer of the backend server by its status."""
        self._parts.metrics.hops[f"{status // 100}xx",].value += 1

    def log_unreachable(self, detail: str) -> None:
        """Logs that the backend server takes no connection."""
        self._parts.events.info(
            "backend-unreachable",
            reason=detail,
            request_id=self.request_id.decode("latin-1"),
            digest=self.digest,
            backend_id=self.backend_id,
        )

    def log_refused(self, reason: bytes) -> None:
        """Logs that the backend server itself refused the request."""
        self._parts.events.info(
            "backend-refused",
            reason=reason.decode("latin-1"),
            request_id=self.request_id.decode("latin-1"),
            route=self.route,
        )

    def answer_died(self) -> None:
        """Answers that the backend server died while it ran the request."""
        self._parts.metrics.hops.labels("died").inc()
        self._log_lost("the backend server died")
        headers = [
            (self._parts.settings.dialect.request_id, self.request_id),
            (hop.DIED, b"1"),
            *self._owner.suspects.encode(self.digest),
        ]
        self._call.answer(502, headers, b"")

    def abort_lost(self, detail: str) -> None:
        """Aborts without an answer; the sending node informs its client."""
        self._parts.metrics.hops.labels("lost").inc()
        self._log_lost(detail)
        self._call.abort()

    def _log_lost(self, detail: str) -> None:
        self._parts.events.info(
            "backend-answer-lost",
            request_id=self.request_id.decode("latin-1"),
            digest=self.digest,
            backend_id=self.backend_id,
            route=self.route,
            detail=detail,
        )

    def _make_headers(
        self,
        head: answer_head.AnswerHead,
        work: bytes,
        is_failed_by_call: bool,
        now_s: float,
    ) -> headers_module.HeaderList:
        """Returns the headers of an answer, with what this node reports."""
        headers = hop.get_forwardable(head.headers)
        headers += self._owner.work.encode_load(now_s)
        if self._owner.limit.is_reported:
            headers += self._owner.limit.encode()
        if work:
            headers += [(hop.WORK, work)]
        if is_failed_by_call:
            headers += [(hop.CALL_FAILED, b"1")]
        return headers
