"""Share of the offered work that the backend server can take, with its log."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import parts as parts_module

PRESSURE_LOG_INTERVAL_S = 1.0  # Minimum time between two "pressure" lines.


class ExitPressure:
    """Keeps the share up to date and logs it while it is below 1.0."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        scheduler: slot_scheduler.SlotScheduler,
        describe_load: Callable[[], dict[str, Any]],
    ) -> None:
        """Starts with a share of 1.0.

        Args:
            parts: Shared state of the gateway.
            scheduler: The slots of the backend server.
            describe_load: Returns the log fields of load and health.
        """
        self._parts = parts
        self._scheduler = scheduler
        self._describe_load = describe_load
        self._meter = share_meter.ShareMeter(parts.clock.now_s())
        self._logged_at_s = parts.clock.now_s()

    @property
    def share(self) -> float:
        """Share of the offered work that fits, 0.0 to 1.0."""
        return self._meter.share

    def note_arrival(self, route: str, share: float) -> None:
        """Counts a request that asks for a slot; see `ShareMeter`."""
        self._meter.note_arrival(route, share)

    def note_hold(self, route: str, hold_s: float) -> None:
        """Records for how long a request of a route held its slot."""
        self._meter.note_hold(route, hold_s)
        self._parts.metrics.hold_s[route,].observe(hold_s)

    def update(self, now_s: float, limit_per_s: float | None) -> None:
        """Updates the share.

        Args:
            now_s: Monotonic seconds.
            limit_per_s: Rate limit of the backend server; None without one.
        """
        if self._meter.is_due(now_s):
            scheduler = self._scheduler
            waiting_s = scheduler.waiting * scheduler.mean_hold_s
            self._meter.roll(now_s, scheduler.slots, waiting_s, limit_per_s)
        is_due = now_s - self._logged_at_s >= PRESSURE_LOG_INTERVAL_S
        if is_due and self.share < 1.0:
            self._logged_at_s = now_s
            self._log()

    def reset(self) -> None:
        """Returns the share to 1.0, as the rate limit that lowered it ended."""
        self._meter.reset()

    def report(self, hold_s: float = 0.0) -> work_report.WorkReport:
        """Returns the work of one request here, and the share that fits.

        Args:
            hold_s: Seconds for which it held a slot; 0.0 if it did not run.
        """
        own = work_report.ServiceWork(hold_s, self.share)
        return {self._parts.settings.service: own}

    def _log(self) -> None:
        self._parts.events.info(
            "pressure",
            service=self._parts.settings.service,
            share=round(self.share, 3),
            use=round(self._meter.utilization, 3),
            **self._describe_load(),
            hold_ms=round(self._scheduler.mean_hold_s * 1000),
        )
