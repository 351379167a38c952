"""Applies what the backend server says of itself to its slots and its share."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.rate_limits import limit_source
from cranberrymux.gateway import backend_self_report
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import exit_work
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import backend_process
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module

_Source = limit_source.LimitSource


class ExitLimit:
    """Holds the requests of all nodes to the limit of the backend server.

    Attributes:
        per_s: Requests a second; None without a limit.
        is_reported: True if `encode` returns headers.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        scheduler: slot_scheduler.SlotScheduler,
        work: exit_work.ExitWork,
        on_leaving: Callable[[str], Any],
    ) -> None:
        """Starts without a limit.

        Args:
            parts: Shared state of the gateway.
            scheduler: The slots of the backend server.
            work: What its requests cost, and the share that it can take.
            on_leaving: Called with the id of the backend server when an answer
                first says that it is leaving.
        """
        self._parts = parts
        self._scheduler = scheduler
        self._work = work
        self._self_report = backend_self_report.BackendSelfReport(
            parts, on_leaving
        )
        self.per_s: float | None = None
        self.is_reported = False

    def use_process(self, process: backend_process.BackendProcess) -> None:
        """Ends the limit if the backend server is another process."""
        self._self_report.use_process(process)
        self._apply()

    def note_health_check(
        self, signals: backend_signals.BackendSignals
    ) -> None:
        """Learns from the answer to the first health check.

        Without a limit it tells nothing of it: not every one need name it.
        """
        if signals.load is not None:
            self._work.note_figures(signals.load)
        if signals.rate_limit_per_s is None and not signals.rate_limit_error:
            return
        self._self_report.note_answer(
            signals,
            self._parts.clock.now_s(),
            b"",
            _Source.HEALTH_CHECK,
        )
        self._apply()

    def note_request(
        self, headers: headers_module.Headers, request_id: bytes
    ) -> None:
        """Learns from a request whose sender knows the limit."""
        per_s = hop.decode_rate_limit(headers, hop.KNOWN_RATE_LIMIT)
        if per_s is not None:
            self._self_report.note_sender(per_s, request_id)
            self._apply()

    def note_answer_head(
        self,
        head: answer_head.AnswerHead,
        first: dict[bytes, bytes],
        process: backend_process.BackendProcess,
        sent_s: float,
        request_id: bytes,
    ) -> None:
        """Learns from an answer that the backend server gave to a request.

        Args:
            head: Head of the answer.
            first: Value of its first header of each name.
            process: The process that the request was sent to.
            sent_s: Monotonic seconds at which the request was sent.
            request_id: Id of the request.
        """
        report = self._self_report
        if process != report.process and not process.may_be(report.process):
            return
        signals = backend_signals.read(
            head, first, self._parts.settings.dialect
        )
        known = report.known
        if signals is backend_signals.NO_SIGNALS and (
            known.per_s is None and known.source is _Source.ANSWER
        ):
            return  # As known before.
        report.note_answer(signals, sent_s, request_id)
        if signals.load is not None:
            self._work.note_figures(signals.load)
        self._apply()

    def encode(self) -> headers_module.HeaderList:
        """Encodes what the backend server says of itself, for answers."""
        report = self._self_report
        headers: headers_module.HeaderList = []
        if report.known.per_s is not None:
            per_s = hop.encode_rate_limit(report.known.per_s)
            headers.append((hop.RATE_LIMIT, per_s))
            wait_s = self._scheduler.get_token_wait_s(self._parts.clock.now_s())
            headers.append((hop.LIMIT_WAIT, hop.encode_limit_wait(wait_s)))
        if report.is_leaving:
            headers.append((hop.LEAVING, b"%d" % report.process.started_ms))
        return headers

    def _apply(self) -> None:
        report = self._self_report
        self.per_s = report.known.per_s
        self.is_reported = self.per_s is not None or report.is_leaving
        if self.per_s is None and self._scheduler.is_rate_limited:
            self._work.pressure.reset()
        self._scheduler.set_rate_limit(self._parts.clock.now_s(), self.per_s)
