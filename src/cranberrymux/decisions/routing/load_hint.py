"""The load that an endpoint tells, as a hint that ages."""

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import outcome

_DONE = outcome.Outcome.DONE
_LOW_LOAD = 0.5
_HIGH_LOAD = 0.9
_SLOW_RATIO = 3.0
_CONTRADICTED_TRUST = 0.7
_DOUBTED_TRUST = 0.98
_TRUST_GAIN = 0.02
_LOWEST_TRUST = 0.02


class LoadHint:
    """Weighs what an endpoint tells by its age and by what is seen of it."""

    __slots__ = ("_age_s", "_load", "_told_s", "_trust")

    def __init__(self, now_s: float, age_s: float) -> None:
        """Starts with no load told.

        Args:
            now_s: Monotonic seconds.
            age_s: Time after which a load told counts nothing.
        """
        self._age_s = age_s
        self._load = 0.0
        self._told_s = now_s
        self._trust = 1.0

    @property
    def trust(self) -> float:
        """How far the load told has agreed with the answers, 0 to 1."""
        return self._trust

    def value(self, now_s: float) -> float:
        """The load, less for its age and for lost trust."""
        left_s = self._age_s - (now_s - self._told_s)
        if left_s <= 0.0:
            return 0.0
        return self._load * self._trust * left_s / self._age_s

    def observe(
        self,
        now_s: float,
        report: call_report.CallReport,
        reference_latency_s: float,
    ) -> None:
        """Takes the load on an answer and compares it with the answer.

        Args:
            now_s: Monotonic seconds.
            report: The answer.
            reference_latency_s: Average latency of the service.
        """
        if report.load is None:
            return
        self._load = min(max(report.load, 0.0), 1.0)
        self._told_s = now_s
        latency_s = report.latency_s
        slow = latency_s > _SLOW_RATIO * reference_latency_s > 0.0
        done = report.outcome is _DONE
        if self._load < _LOW_LOAD and (slow or not done):
            trust = self._trust * _CONTRADICTED_TRUST
        elif self._load > _HIGH_LOAD and latency_s < reference_latency_s:
            trust = self._trust * _DOUBTED_TRUST
        else:
            trust = self._trust + _TRUST_GAIN * (1.0 - self._trust)
        self._trust = max(trust, _LOWEST_TRUST)
