"""What the requests at the backend server cost, and how well they end."""

from typing import Any

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import backend_health
from cranberrymux.gateway import exit_pressure
from cranberrymux.gateway import hop
from cranberrymux.gateway import owned_call
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import load_figures
from cranberrymux.node.http import headers as headers_module

_SERVED = run_outcome.RunOutcome.SERVED


class ExitWork:
    """Measures the runs of the backend server beside this node.

    Attributes:
        health: Health of the backend server.
        pressure: The share of the offered work that it can take.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        scheduler: slot_scheduler.SlotScheduler,
    ) -> None:
        """Starts without runs.

        Args:
            parts: Shared state of the gateway.
            scheduler: The slots of the backend server.
        """
        self._parts = parts
        self._scheduler = scheduler
        self.health = backend_health.BackendHealth(parts)
        self.pressure = exit_pressure.ExitPressure(
            parts, scheduler, self.describe_load
        )

    def encode_load(self, now_s: float) -> headers_module.HeaderList:
        """Encodes the load report that answers carry."""
        return self.health.encode_report(now_s, self._scheduler.requests)

    def note_figures(self, figures: load_figures.LoadFigures) -> None:
        """Stores what the backend server says of its load."""
        self.health.note_figures(figures, self._scheduler.running)

    def describe_load(self) -> dict[str, Any]:
        """Returns the log fields of load and health."""
        return {
            **self.health.describe(),
            "running": self._scheduler.running,
            "waiting": self._scheduler.waiting,
            "slots": self._scheduler.slots,
        }

    def report_refusal(
        self, tree_context: hop.TreeContext, offered_s: float | None
    ) -> work_report.WorkReport:
        """Returns a report without work that tells the fitting shares.

        Args:
            tree_context: Context of the request that was refused.
            offered_s: Seconds of work that it stands for; see `ServiceWork`.
        """
        return self.pressure.report(tree_context, offered_s=offered_s)

    def note_outcome(
        self, call: owned_call.OwnedCall, is_failed: bool, now_s: float
    ) -> bool:
        """Records how a request ended; to be called before `end_run`.

        Returns:
            True if it failed because one of its calls failed or is open.
        """
        failing = self.health.failing
        if not is_failed:
            if failing.latest:
                failing.note(now_s, False)
            return False
        running = self._parts.running_requests.find(call.ticket_id)
        is_failed_by_call = running is not None and running.depends_on_call
        if not is_failed_by_call:
            failing.note(now_s, True)
        return is_failed_by_call

    def start_run(self, call: owned_call.OwnedCall, deadline_s: float) -> None:
        """Records that a request is sent to the backend server.

        Args:
            call: The request.
            deadline_s: Monotonic seconds of the deadline it is sent with.
        """
        self._parts.metrics.backend_sends.value += 1
        self._parts.parent_matcher.add(
            call.ticket_id, call.request_id, deadline_s
        )
        self._parts.running_requests.begin(
            call.ticket_id, call.tree_context, call.route
        )

    def end_run(
        self,
        call: owned_call.OwnedCall,
        outcome: run_outcome.RunOutcome,
        limit_per_s: float | None,
        now_s: float,
    ) -> bytes:
        """Frees a slot; returns the encoded work of the request and its calls.

        Args:
            call: The request.
            outcome: How its run ended.
            limit_per_s: Rate limit of the backend server; None without one.
            now_s: Monotonic seconds.
        """
        ticket_id = call.ticket_id
        is_measured = outcome is not run_outcome.RunOutcome.UNANSWERED
        hold_s = self._scheduler.finish(now_s, ticket_id, is_measured)
        if is_measured:
            self.pressure.note_hold(call.route, hold_s)
        self.health.update_stall(now_s)
        running = self._parts.running_requests.end(ticket_id)
        if running is not None:
            self.health.note_work_time(
                now_s,
                call.route,
                hold_s - running.call_wait_s,
                hold_s,
                outcome,
            )
            if running.answered_calls and outcome is _SERVED:
                self._parts.running_requests.note_served(running, call.route)
        if now_s >= self.pressure.due_s:
            self.pressure.update(now_s, limit_per_s)
        self._parts.parent_matcher.remove(ticket_id)
        offered_s = 0.0 if call.is_resent else None
        if running is None or not running.report:
            return self.pressure.encode_report(
                call.tree_context, hold_s, offered_s
            )
        own = self.pressure.report(call.tree_context, hold_s, offered_s)
        work_report.add(running.report, own)
        return work_report.encode(running.report)

    def update_metrics(self) -> None:
        """Updates the gauges and checks the health."""
        self.health.log_transitions()
        metrics = self._parts.metrics
        metrics.share.set(self.pressure.share)
        metrics.running.set(self._scheduler.running)
        metrics.waiting.set(self._scheduler.waiting)
        metrics.accounts_held_back.set(self.pressure.held_back_count)
