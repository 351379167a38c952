"""Reports facts about suspects to the control instances until one has them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import Any
from typing import Protocol

import structlog
from twisted.internet import defer

from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.node import clock as clock_module
from cranberrymux.node import suspect_rows
from cranberrymux.telemetry import event
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

RETRY_INTERVAL_S = 0.25
REPORTS_PER_MESSAGE = 128
MAXIMUM_PENDING = 8192

_log = structlog.get_logger()


class ReportClient(Protocol):
    """A connection to a control instance that keeps reports on suspects."""

    @property
    def is_connected(self) -> bool:
        """True if a report would be sent now."""

    async def report_suspect(self, report: Any) -> Any:
        """Sends a `SuspectReport`; returns `SuspectAnswer | WireError`."""


class SuspectReporter:
    """Sends reports in batches, one batch at a time, and again if need be."""

    def __init__(
        self,
        get_clients: Callable[[], Sequence[ReportClient]],
        reporter: str,
        reactor: Any,
        system_clock: clock_module.Clock,
    ) -> None:
        """Starts without reports.

        Args:
            get_clients: Returns the connections to the control instances.
            reporter: Name of this process, unique.
            reactor: Schedules what is sent later.
            system_clock: The node's clocks.
        """
        self._get_clients = get_clients
        self._reporter = reporter
        self._reactor = reactor
        self._clock = system_clock
        # Reports with the monotonic seconds from which they are due.
        self._pending: collections.OrderedDict[
            suspect_report.SuspectReport, float
        ] = collections.OrderedDict()
        self._is_sending = False
        self._timer: Any = None
        # Claims under way, those of them that rows say were granted, and those
        # that were given up without an answer.
        self._claiming: set[suspect_report.SuspectReport] = set()
        self._granted: set[suspect_report.SuspectReport] = set()
        self._unanswered: set[suspect_report.SuspectReport] = set()

    @property
    def pending(self) -> int:
        """Number of reports that no control instance has acknowledged."""
        return len(self._pending)

    def add(
        self,
        reports: Iterable[suspect_report.SuspectReport],
        delay_s: float = 0.0,
    ) -> None:
        """Sends reports, now or unless they are confirmed until then."""
        due_s = self._clock.now_s() + delay_s
        for report in reports:
            self._pending[report] = min(due_s, self._pending.get(report, due_s))
        while len(self._pending) > MAXIMUM_PENDING:
            self._pending.popitem(last=False)
        self._send_due()

    def confirm(self, reports: Iterable[suspect_report.SuspectReport]) -> None:
        """Drops reports that the control instances have by now."""
        for report in reports:
            self._pending.pop(report, None)

    async def claim_trial(self, trial: suspect_report.SuspectReport) -> bool:
        """Returns whether this node is the one that may run a trial.

        It is not if no control instance answers: another may have been granted
        the trial.
        """
        item = suspect_rows.encode_item(trial, self._reporter)
        item.maximum_ids = 1
        message = ttypes.SuspectReport(
            fingerprint=item.fingerprint,
            endpoint_id=self._reporter,
            incarnation=0,
            items=[item],
        )
        self._claiming.add(trial)
        is_granted = await self._claim(message)
        self._claiming.discard(trial)
        is_told = trial in self._granted
        self._granted.discard(trial)
        if is_granted is None and not is_told:
            self._unanswered.add(trial)
            return False
        self._unanswered.discard(trial)
        return is_told or bool(is_granted)

    async def _claim(self, message: Any) -> bool | None:
        """Returns whether the trial is granted; None without an answer."""
        for client in self._get_clients():
            if not client.is_connected:
                continue
            answer = await client.report_suspect(message)
            if not isinstance(answer, wire_error.WireError):
                return bool(answer.event_ids == [self._reporter])
        return None

    def take_unused_trials(
        self, rows: Iterable[Any]
    ) -> list[suspect_report.SuspectReport]:
        """Returns trials granted to this node whose claims it gave up.

        Args:
            rows: Rows of the ledger that the control instances keep.
        """
        if not self._unanswered and not self._claiming:
            return []
        granted = set(suspect_rows.find_trials(rows, self._reporter))
        self._granted |= granted & self._claiming
        unused = granted & self._unanswered - self._claiming
        self._unanswered -= unused
        return list(unused)

    def stop(self) -> None:
        """Sends nothing more."""
        self._pending.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_due(self) -> None:
        if self._is_sending or not self._pending:
            return
        now_s = self._clock.now_s()
        due = (
            report for report, due_s in self._pending.items() if due_s <= now_s
        )
        batch = list(itertools.islice(due, REPORTS_PER_MESSAGE))
        if batch:
            defer.ensureDeferred(self._send(batch))
        else:
            self._send_later(RETRY_INTERVAL_S)

    async def _send(
        self, batch: Sequence[suspect_report.SuspectReport]
    ) -> None:
        self._is_sending = True
        message = ttypes.SuspectReport(
            fingerprint="",
            endpoint_id=self._reporter,
            incarnation=0,
            items=[
                suspect_rows.encode_item(report, self._reporter)
                for report in batch
            ],
        )
        is_sent = await self._send_to_any(message)
        self._is_sending = False
        if is_sent:
            self.confirm(batch)
        self._send_later(0.0 if is_sent else RETRY_INTERVAL_S)

    async def _send_to_any(self, message: Any) -> bool:
        detail = "no connection"
        for client in self._get_clients():
            if not client.is_connected:
                continue
            answer = await client.report_suspect(message)
            if not isinstance(answer, wire_error.WireError):
                return True
            detail = answer.detail
        _log.warning(
            event.Event.SUSPECT_REPORT_FAILED,
            pending=len(self._pending),
            detail=detail,
        )
        return False

    def _send_later(self, delay_s: float) -> None:
        if self._timer is None and self._pending:
            self._timer = self._reactor.callLater(delay_s, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._send_due()
