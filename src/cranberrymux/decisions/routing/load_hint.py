"""The load that an endpoint reports, weighted by its age and by trust."""

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import service_averages

_DONE = outcome.Outcome.DONE
_REFUSED = outcome.Outcome.REFUSED
_LOW_LOAD = 0.5  # Slow or failed calls contradict a load below this.
_HIGH_LOAD = 0.9  # Refusals contradict a load below this, fast calls one above.
_SLOW_RATIO = 3.0  # A slow call takes longer than this multiple of the average.
_LOAD_GAIN = 0.1  # Weight of one report in the moving average.
_CONTRADICTED_TRUST = 0.7  # Trust is multiplied by this if a low load is wrong.
_DOUBTED_TRUST = 0.98  # The same for a high load on a fast answer.
_TRUST_GAIN = 0.02  # Part of the missing trust that any other call restores.
_MINIMUM_TRUST = 0.02


class LoadHint:
    """Estimates the load that other callers cause at an endpoint.

    The estimate lies between the average of the service and the load that the
    endpoint reports; the weight of the report falls with its age and with the
    calls that have contradicted earlier ones. So an endpoint gains nothing
    from reporting no load, or a wrong one. The load is smoothed, since callers
    that follow every change at once would all turn to the same endpoint.
    """

    __slots__ = ("_age_s", "_load", "_updated_s", "_trust")

    def __init__(self, now_s: float, age_s: float) -> None:
        """Starts without a reported load and with full trust.

        Args:
            now_s: Monotonic time in seconds.
            age_s: Age in seconds from which a reported load has no weight.
        """
        self._age_s = age_s
        self._load = 0.0
        self._updated_s = now_s - age_s
        self._trust = 1.0

    @property
    def trust(self) -> float:
        """How far reported loads have agreed with the calls, 0 to 1."""
        return self._trust

    def value(self, now_s: float, average: float) -> float:
        """Estimated load caused by other callers, 0 to 1.

        Args:
            now_s: Monotonic time in seconds.
            average: Average load of the service's endpoints, 0 to 1.
        """
        remaining_s = self._age_s - (now_s - self._updated_s)
        if remaining_s <= 0.0:
            return average
        weight = self._trust * remaining_s / self._age_s
        return average + weight * (self._load - average)

    def observe(
        self,
        now_s: float,
        report: call_report.CallReport,
        averages: service_averages.ServiceAverages,
        own_load: float,
    ) -> None:
        """Adds the load reported with a call and updates the trust in it.

        Args:
            now_s: Monotonic time in seconds.
            report: How the call ended; ignored if it names no load.
            averages: Averages of the service; updated with the load.
            own_load: Part of the load that calls of this node cause.
        """
        if report.load is None:
            return
        load = min(max(report.load, 0.0), 1.0)
        self._update_trust(load, report, averages.latency_s)
        other_load = max(load - own_load, 0.0)
        averages.observe_load(now_s, other_load)
        if now_s - self._updated_s >= self._age_s:
            self._load = other_load
        else:
            self._load += _LOAD_GAIN * (other_load - self._load)
        self._updated_s = now_s

    def _update_trust(
        self,
        load: float,
        report: call_report.CallReport,
        reference_latency_s: float,
    ) -> None:
        result = report.outcome
        latency_s = report.latency_s
        is_slow = latency_s > _SLOW_RATIO * reference_latency_s > 0.0
        is_bad = is_slow or result is not _DONE
        load_limit = _HIGH_LOAD if result is _REFUSED else _LOW_LOAD
        if is_bad and load < load_limit:
            trust = self._trust * _CONTRADICTED_TRUST
        elif load > _HIGH_LOAD and latency_s < reference_latency_s:
            trust = self._trust * _DOUBTED_TRUST
        else:
            trust = self._trust + _TRUST_GAIN * (1.0 - self._trust)
        self._trust = max(trust, _MINIMUM_TRUST)
