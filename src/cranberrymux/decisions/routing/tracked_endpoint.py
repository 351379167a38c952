"""State of one endpoint as learned by a router from calls to it."""

from collections.abc import Mapping

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import failure_history
from cranberrymux.decisions.routing import load_hint
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_averages
from cranberrymux.decisions.selectors import selector_labels
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_Outcome = outcome.Outcome
_CANCELLED = _Outcome.CANCELLED
_DONE = _Outcome.DONE
_DRAINING = _Outcome.DRAINING
_TIMED_OUT = _Outcome.TIMED_OUT

# Health is the share of the announced slots that counts as capacity.
_MINIMUM_HEALTH = 0.05
_HEALTH_GAIN = 0.05  # Part of the missing health that a done call restores.
# Part of the health that a call with this outcome takes away.
_HEALTH_LOSS = {
    _Outcome.REFUSED: 0.1,
    _Outcome.FAILED: 0.1,
    _Outcome.UNREACHABLE: 0.25,
    _Outcome.LOST: 0.25,
    _Outcome.TIMED_OUT: 0.25,
}
_LATENCY_GAIN = 0.1  # Weight of one call in the moving average.
# Latencies up to this multiple of the service's average do not raise the cost.
_SLOW_RATIO = 2.0
_MAXIMUM_SLOW_RATIO = 10.0  # Higher multiples count as this one.
_SLOWNESS_LIFETIME_S = 5.0  # Age at which a latency no longer raises the cost.


class TrackedEndpoint:
    """Record of an endpoint, calls in flight to it and results of past calls.

    Attributes:
        record: The newest record from the directory.
        labels: Labels that place selectors are matched with.
        draining_until_s: Monotonic seconds until which its draining notice
            holds; 0.0 without one.
        outstanding: Number of calls in flight from this node.
        failures: Its failures and ejections.
        hint: The load that it reports.
        latency_s: Moving average of its latency in seconds; 0.0 before the
            first.
        gone_s: Monotonic seconds at which its record became gone.
    """

    __slots__ = (
        "_health",
        "_health_updated_s",
        "_is_serving",
        "_latency_updated_s",
        "_level",
        "_level_updated_s",
        "_settings",
        "_slots",
        "_slow_start_from_s",
        "_slow_start_s",
        "failures",
        "gone_s",
        "hint",
        "labels",
        "latency_s",
        "draining_until_s",
        "outstanding",
        "record",
    )

    def __init__(
        self,
        settings: router_settings.RouterSettings,
        now_s: float,
        record: endpoint_record.EndpointRecord,
    ) -> None:
        """Starts in slow start, with nothing learned."""
        self._settings = settings
        self.outstanding = 0
        self.record = record
        self._level: int | None = None
        self._reset(now_s)
        self.apply(now_s, record)

    @property
    def warm_s(self) -> float:
        """Monotonic seconds at which the slow start ends."""
        return self._slow_start_from_s + self._slow_start_s

    def is_newer(self, record: endpoint_record.EndpointRecord) -> bool:
        """True if a record is newer than the one held."""
        own = self.record
        return (record.incarnation, record.sequence) > (
            own.incarnation,
            own.sequence,
        )

    def apply(
        self, now_s: float, record: endpoint_record.EndpointRecord
    ) -> None:
        """Replaces the record; a new incarnation resets what was learned."""
        if record.incarnation != self.record.incarnation:
            self._reset(now_s)
        self.record = record
        self._slots = max(record.slots, 1)
        self.labels: Mapping[str, str] = selector_labels.make_endpoint_labels(
            record
        )
        self._is_serving = record.state is endpoint_state.EndpointState.SERVING
        self.draining_until_s = 0.0
        if record.state is endpoint_state.EndpointState.GONE:
            self.gone_s = now_s

    def accepts_calls(self, now_s: float) -> bool:
        """True if its record says serving and no draining notice holds."""
        return self._is_serving and now_s >= self.draining_until_s

    def note_draining(self, now_s: float) -> None:
        """Handles a draining notice, which an answer of the endpoint carried.

        The notice holds until a newer record comes, or for a limited time:
        an answer may arrive after the record that supersedes its notice, and
        would otherwise exclude the endpoint for good.
        """
        self.draining_until_s = now_s + self._settings.draining_notice_s

    def eject(self, now_s: float) -> None:
        """Ejects it; a slow start of `return_slow_start_s` follows."""
        self.failures.eject(now_s)
        self._slow_start_from_s = self.failures.ejected_until_s
        self._slow_start_s = self._settings.return_slow_start_s

    def warmth(self, now_s: float) -> float:
        """Share of its calls that it gets in slow start; 1.0 when warm."""
        age_s = now_s - self._slow_start_from_s
        if age_s >= self._slow_start_s:
            return 1.0
        initial_share = self._settings.slow_start_share
        return (
            initial_share
            + (1.0 - initial_share) * max(age_s, 0.0) / self._slow_start_s
        )

    def capacity(self, now_s: float) -> float:
        """Learned capacity in slots, at most the number announced."""
        return self._slots * self._current_health(now_s)

    def cost(
        self, now_s: float, averages: service_averages.ServiceAverages
    ) -> float:
        """Share of its capacity in use with one more call; 1.0 is full.

        Args:
            now_s: Monotonic time in seconds.
            averages: Averages of the service that it is compared with.
        """
        own = (self.outstanding + 1) / self.capacity(now_s)
        reference_latency_s = averages.latency_s
        if self.latency_s > _SLOW_RATIO * reference_latency_s > 0.0:
            own *= self._slowness_factor(now_s, reference_latency_s)
        return own + self.hint.value(now_s, averages.load(now_s))

    def effective_level(self, now_s: float) -> float | None:
        """The reported level, raised by age; None if unknown or expired."""
        if self._level is None:
            return None
        settings = self._settings
        age_s = now_s - self._level_updated_s
        if age_s >= settings.level_lifetime_s:
            return None
        rising_s = max(age_s - settings.level_hold_s, 0.0)
        return self._level + rising_s * settings.level_rise_per_s

    def admits(self, now_s: float, priority: int) -> bool:
        """False if, by its level, it would refuse a call of this priority."""
        if self._level is None or priority <= self._level:
            return True
        if now_s - self._level_updated_s <= self._settings.level_hold_s:
            return False
        level = self.effective_level(now_s)
        return level is None or priority <= level

    def observe(
        self,
        now_s: float,
        report: call_report.CallReport,
        averages: service_averages.ServiceAverages,
    ) -> None:
        """Learns from a call that ended; leaves `outstanding` unchanged.

        Args:
            now_s: Monotonic time in seconds.
            report: How the call ended.
            averages: Averages of the service; updated with a reported load.
        """
        if report.level is not None:
            self._level = report.level
            self._level_updated_s = now_s
        result = report.outcome
        if result is _CANCELLED or result is _DRAINING:
            return
        self._update_health(now_s, result)
        self._update_latency(now_s, report)
        self.failures.observe(now_s, result)
        own_load = self.outstanding / self._slots
        self.hint.observe(now_s, report, averages, own_load)

    def _reset(self, now_s: float) -> None:
        settings = self._settings
        self.failures = failure_history.FailureHistory(now_s, settings)
        self.hint = load_hint.LoadHint(now_s, settings.hint_lifetime_s)
        self.latency_s = 0.0
        self.gone_s = now_s
        self._latency_updated_s = now_s
        self._level = None
        self._level_updated_s = now_s
        self._health = 1.0
        self._health_updated_s = now_s
        self._slow_start_from_s = now_s
        self._slow_start_s = settings.slow_start_s

    def _current_health(self, now_s: float) -> float:
        if self._health == 1.0:
            return 1.0
        rise = (
            now_s - self._health_updated_s
        ) * self._settings.health_rise_per_s
        return min(1.0, self._health + rise)

    def _update_health(self, now_s: float, result: outcome.Outcome) -> None:
        health = self._current_health(now_s)
        if result is _DONE:
            health += _HEALTH_GAIN * (1.0 - health)
        else:
            health *= 1.0 - _HEALTH_LOSS[result]
        self._health = max(health, _MINIMUM_HEALTH)
        self._health_updated_s = now_s

    def _update_latency(
        self, now_s: float, report: call_report.CallReport
    ) -> None:
        result = report.outcome
        if result is not _DONE and result is not _TIMED_OUT:
            return
        if self.latency_s == 0.0:
            self.latency_s = report.latency_s
        else:
            change_s = report.latency_s - self.latency_s
            self.latency_s += _LATENCY_GAIN * change_s
        self._latency_updated_s = now_s

    def _slowness_factor(
        self, now_s: float, reference_latency_s: float
    ) -> float:
        age_s = now_s - self._latency_updated_s
        if age_s >= _SLOWNESS_LIFETIME_S:
            return 1.0
        ratio = min(self.latency_s / reference_latency_s, _MAXIMUM_SLOW_RATIO)
        return 1.0 + (ratio - 1.0) * (1.0 - age_s / _SLOWNESS_LIFETIME_S)
