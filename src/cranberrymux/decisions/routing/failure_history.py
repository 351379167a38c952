"""Failures of one endpoint and its ejections."""

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings

_RATE_GAIN = 0.05
_FAILING_IN_A_ROW = 2
_COMPARED_EACH = 4
_DONE = outcome.Outcome.DONE
_UNREACHABLE = outcome.Outcome.UNREACHABLE


class FailureHistory:
    """Counts failures; each ejection lasts twice as long as the last."""

    __slots__ = (
        "_ejected_until_s",
        "_ejections",
        "_failures",
        "_in_a_row",
        "_last_failure_s",
        "_rate",
        "_samples",
        "_settings",
        "_unreachable_in_a_row",
    )

    def __init__(
        self, now_s: float, settings: router_settings.RouterSettings
    ) -> None:
        """Starts without failures."""
        self._settings = settings
        self._failures = 0
        self._in_a_row = 0
        self._unreachable_in_a_row = 0
        self._rate = 0.0
        self._samples = 0
        self._ejections = 0
        self._ejected_until_s = 0.0
        self._last_failure_s = now_s

    @property
    def ejected_until_s(self) -> float:
        """End of the last ejection; 0.0 if there was none."""
        return self._ejected_until_s

    @property
    def is_failing(self) -> bool:
        """True if the last answers were failures."""
        return self._in_a_row >= _FAILING_IN_A_ROW

    def observe(self, now_s: float, result: outcome.Outcome) -> None:
        """Counts an ended call."""
        if result is _DONE:
            self._samples += 1
            self._in_a_row = 0
            self._unreachable_in_a_row = 0
            self._rate -= _RATE_GAIN * self._rate
            if self._ejections:
                self._forgive(now_s)
        elif result in outcome.FAILURES:
            self._samples += 1
            self._failures += 1
            self._in_a_row += 1
            if result is _UNREACHABLE:
                self._unreachable_in_a_row += 1
            else:
                self._unreachable_in_a_row = 0
            self._rate += _RATE_GAIN * (1.0 - self._rate)
            self._last_failure_s = now_s

    @property
    def rate(self) -> float:
        """Moving average of failures, 0 to 1."""
        return self._rate

    @property
    def is_suspect(self) -> bool:
        """True if the last failure is reason to compare it with siblings.

        Not on each failure, since the comparison walks over the service.
        """
        settings = self._settings
        threshold = self._threshold
        if self._in_a_row >= threshold and self._in_a_row % threshold == 0:
            return True
        return (
            self._samples >= settings.ejection_samples
            and self._failures % _COMPARED_EACH == 0
            and self._rate > settings.ejection_rate_margin
        )

    def is_outlier(self, siblings_rate: float) -> bool:
        """True if it fails more than its siblings, by rate or in a row.

        Args:
            siblings_rate: Average failure rate of the others.
        """
        settings = self._settings
        if self._unreachable_in_a_row >= self._threshold:
            return True  # No deeper service can be the cause.
        if self._in_a_row >= self._threshold:
            return siblings_rate < settings.ejection_siblings_rate
        return self._rate > siblings_rate + settings.ejection_rate_margin

    def eject(self, now_s: float) -> None:
        """Begins an ejection and forgets the failures that led to it."""
        settings = self._settings
        length_s = min(
            settings.ejection_s * 2.0**self._ejections,
            settings.ejection_maximum_s,
        )
        if length_s < settings.ejection_maximum_s:
            self._ejections += 1
        self._ejected_until_s = now_s + length_s
        self._in_a_row = 0
        self._unreachable_in_a_row = 0
        self._rate = 0.0
        self._samples = 0

    @property
    def _threshold(self) -> int:
        settings = self._settings
        if self._ejections:
            return settings.repeated_ejection_failures
        return settings.ejection_failures

    def _forgive(self, now_s: float) -> None:
        if now_s - self._last_failure_s >= self._settings.ejection_memory_s:
            self._ejections -= 1
            self._last_failure_s = now_s
