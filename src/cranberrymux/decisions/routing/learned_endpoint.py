"""What a router has learned of one endpoint."""

from collections.abc import Mapping

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import failure_history
from cranberrymux.decisions.routing import load_hint
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_averages
from cranberrymux.decisions.selectors import request_labels
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_Outcome = outcome.Outcome
_CANCELLED = _Outcome.CANCELLED
_DONE = _Outcome.DONE
_DRAINING = _Outcome.DRAINING
_TIMED_OUT = _Outcome.TIMED_OUT

_LOWEST_HEALTH = 0.05
_HEALTH_GAIN = 0.05
_HEALTH_LOSS = {
    _Outcome.REFUSED: 0.1,
    _Outcome.FAILED: 0.1,
    _Outcome.UNREACHABLE: 0.25,
    _Outcome.LOST: 0.25,
    _Outcome.TIMED_OUT: 0.25,
}
_LATENCY_GAIN = 0.1
_SLOW_RATIO = 2.0
_SLOWEST_RATIO = 10.0
_SLOWNESS_AGE_S = 5.0


class LearnedEndpoint:
    """One endpoint's record, the work in flight to it and its past answers.

    Attributes:
        record: The newest news.
        labels: Labels that place selectors see.
        left_until_s: Until when its own word that it is leaving stands.
        outstanding: Calls in flight from this node.
        failures: Its failures and ejections.
        hint: The load that it tells.
        latency_s: Moving average of its latency; 0.0 before the first.
        gone_s: When it was seen gone.
    """

    __slots__ = (
        "_health",
        "_health_s",
        "_latency_told_s",
        "_level",
        "_level_s",
        "_ramp_s",
        "_serving",
        "_settings",
        "_slots",
        "_warming_since_s",
        "failures",
        "gone_s",
        "hint",
        "labels",
        "latency_s",
        "left_until_s",
        "outstanding",
        "record",
    )

    def __init__(
        self,
        settings: router_settings.RouterSettings,
        now_s: float,
        record: endpoint_record.EndpointRecord,
    ) -> None:
        """Starts cold, with nothing learned."""
        self._settings = settings
        self.outstanding = 0
        self.record = record
        self._level: int | None = None
        self._reset(now_s)
        self.apply(now_s, record)

    @property
    def warm_s(self) -> float:
        """When the slow start ends."""
        return self._warming_since_s + self._ramp_s

    def is_newer(self, record: endpoint_record.EndpointRecord) -> bool:
        """True if a record is newer than the news held."""
        own = self.record
        return (record.incarnation, record.sequence) > (
            own.incarnation,
            own.sequence,
        )

    def apply(
        self, now_s: float, record: endpoint_record.EndpointRecord
    ) -> None:
        """Takes newer news; another incarnation starts cold."""
        if record.incarnation != self.record.incarnation:
            self._reset(now_s)
        self.record = record
        self._slots = max(record.slots, 1)
        self.labels: Mapping[str, str] = request_labels.endpoint_labels(record)
        self._serving = record.state is endpoint_state.EndpointState.SERVING
        self.left_until_s = 0.0
        if record.state is endpoint_state.EndpointState.GONE:
            self.gone_s = now_s

    def takes_work(self, now_s: float) -> bool:
        """True if it takes new work by its record and its own word."""
        return self._serving and now_s >= self.left_until_s

    def leave(self, now_s: float) -> None:
        """Notes that it said on an answer that it is leaving.

        Its word stands until newer news, or for a stated time: news that
        came before a late answer would else shut it out for good.
        """
        self.left_until_s = now_s + self._settings.draining_word_s

    def eject(self, now_s: float) -> None:
        """Ejects it; it comes back by a slow start of its own length."""
        self.failures.eject(now_s)
        self._warming_since_s = self.failures.ejected_until_s
        self._ramp_s = self._settings.return_ramp_s

    def warmth(self, now_s: float) -> float:
        """Share of its work that a cold endpoint gets, up to 1.0."""
        age_s = now_s - self._warming_since_s
        if age_s >= self._ramp_s:
            return 1.0
        first = self._settings.slow_start_share
        return first + (1.0 - first) * max(age_s, 0.0) / self._ramp_s

    def capacity(self, now_s: float) -> float:
        """Learned capacity in slots, at most those announced."""
        return self._slots * self._present_health(now_s)

    def cost(
        self, now_s: float, averages: service_averages.ServiceAverages
    ) -> float:
        """Share of its capacity in use if it takes one call more.

        Args:
            now_s: Monotonic seconds.
            averages: Averages of the service.
        """
        own = (self.outstanding + 1) / self.capacity(now_s)
        reference_latency_s = averages.latency_s
        if self.latency_s > _SLOW_RATIO * reference_latency_s > 0.0:
            own *= self._slowness(now_s, reference_latency_s)
        return own + self.hint.value(now_s, averages.load(now_s))

    def effective_level(self, now_s: float) -> float | None:
        """The level told, risen with its age; None if none counts."""
        if self._level is None:
            return None
        settings = self._settings
        age_s = now_s - self._level_s
        if age_s >= settings.level_forget_s:
            return None
        risen_s = max(age_s - settings.level_hold_s, 0.0)
        return self._level + risen_s * settings.level_reopen_per_s

    def admits(self, now_s: float, priority: int) -> bool:
        """False if its level says that it would refuse the priority."""
        if self._level is None or priority <= self._level:
            return True
        if now_s - self._level_s <= self._settings.level_hold_s:
            return False
        level = self.effective_level(now_s)
        return level is None or priority <= level

    def observe(
        self,
        now_s: float,
        report: call_report.CallReport,
        averages: service_averages.ServiceAverages,
    ) -> None:
        """Learns from a call that ended; the count in flight is not touched.

        Args:
            now_s: Monotonic seconds.
            report: How the call ended.
            averages: Averages of the service.
        """
        if report.level is not None:
            self._level = report.level
            self._level_s = now_s
        result = report.outcome
        if result is _CANCELLED or result is _DRAINING:
            return
        self._learn_health(now_s, result)
        self._learn_latency(now_s, report)
        self.failures.observe(now_s, result)
        own_load = self.outstanding / self._slots
        self.hint.observe(now_s, report, averages, own_load)

    def _reset(self, now_s: float) -> None:
        settings = self._settings
        self.failures = failure_history.FailureHistory(now_s, settings)
        self.hint = load_hint.LoadHint(now_s, settings.hint_age_s)
        self.latency_s = 0.0
        self.gone_s = now_s
        self._latency_told_s = now_s
        self._level = None
        self._level_s = now_s
        self._health = 1.0
        self._health_s = now_s
        self._warming_since_s = now_s
        self._ramp_s = settings.slow_start_s

    def _present_health(self, now_s: float) -> float:
        if self._health == 1.0:
            return 1.0
        rise = (now_s - self._health_s) * self._settings.health_reopen_per_s
        return min(1.0, self._health + rise)

    def _learn_health(self, now_s: float, result: outcome.Outcome) -> None:
        health = self._present_health(now_s)
        if result is _DONE:
            health += _HEALTH_GAIN * (1.0 - health)
        else:
            health *= 1.0 - _HEALTH_LOSS[result]
        self._health = max(health, _LOWEST_HEALTH)
        self._health_s = now_s

    def _learn_latency(
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
        self._latency_told_s = now_s

    def _slowness(self, now_s: float, reference_latency_s: float) -> float:
        age_s = now_s - self._latency_told_s
        if age_s >= _SLOWNESS_AGE_S:
            return 1.0
        ratio = min(self.latency_s / reference_latency_s, _SLOWEST_RATIO)
        return 1.0 + (ratio - 1.0) * (1.0 - age_s / _SLOWNESS_AGE_S)
