"""The load that an endpoint tells, as a hint that ages."""

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import service_averages

_DONE = outcome.Outcome.DONE
_REFUSED = outcome.Outcome.REFUSED
_LOW_LOAD = 0.5
_HIGH_LOAD = 0.9
_SLOW_RATIO = 3.0
_LOAD_GAIN = 0.1
_CONTRADICTED_TRUST = 0.7
_DOUBTED_TRUST = 0.98
_TRUST_GAIN = 0.02
_LOWEST_TRUST = 0.02


class LoadHint:
    """Weighs what an endpoint tells by its age and by what is seen of it.

    What is not believed counts as the average of the service, so that an
    endpoint gains nothing by telling nothing, or what is not true. The load
    is smoothed, since callers that follow each change at once all turn to
    the same endpoint.
    """

    __slots__ = ("_age_s", "_load", "_told_s", "_trust")

    def __init__(self, now_s: float, age_s: float) -> None:
        """Starts with no load told.

        Args:
            now_s: Monotonic seconds.
            age_s: Time after which a load told counts nothing.
        """
        self._age_s = age_s
        self._load = 0.0
        self._told_s = now_s - age_s
        self._trust = 1.0

    @property
    def trust(self) -> float:
        """How far the load told has agreed with the answers, 0 to 1."""
        return self._trust

    def value(self, now_s: float, average: float) -> float:
        """The load of other callers' work, as far as it is believed.

        Args:
            now_s: Monotonic seconds.
            average: Average load of the service.
        """
        left_s = self._age_s - (now_s - self._told_s)
        if left_s <= 0.0:
            return average
        weight = self._trust * left_s / self._age_s
        return average + weight * (self._load - average)

    def observe(
        self,
        now_s: float,
        report: call_report.CallReport,
        averages: service_averages.ServiceAverages,
        own_load: float,
    ) -> None:
        """Takes the load on an answer and compares it with the answer.

        Args:
            now_s: Monotonic seconds.
            report: The answer.
            averages: Averages of the service.
            own_load: Part of the load that is this node's own work.
        """
        if report.load is None:
            return
        load = min(max(report.load, 0.0), 1.0)
        self._learn_trust(load, report, averages.latency_s)
        others = max(load - own_load, 0.0)
        averages.observe_load(now_s, others)
        if now_s - self._told_s >= self._age_s:
            self._load = others
        else:
            self._load += _LOAD_GAIN * (others - self._load)
        self._told_s = now_s

    def _learn_trust(
        self,
        load: float,
        report: call_report.CallReport,
        reference_latency_s: float,
    ) -> None:
        result = report.outcome
        latency_s = report.latency_s
        slow = latency_s > _SLOW_RATIO * reference_latency_s > 0.0
        troubled = slow or result is not _DONE
        limit = _HIGH_LOAD if result is _REFUSED else _LOW_LOAD
        if troubled and load < limit:
            trust = self._trust * _CONTRADICTED_TRUST
        elif load > _HIGH_LOAD and latency_s < reference_latency_s:
            trust = self._trust * _DOUBTED_TRUST
        else:
            trust = self._trust + _TRUST_GAIN * (1.0 - self._trust)
        self._trust = max(trust, _LOWEST_TRUST)
