"""Outlier ejection of one endpoint: its failures and ejections."""

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings

_RATE_GAIN = 0.05  # Weight of one call in the moving failure rate.
# From here on the endpoint counts as failing.
_MINIMUM_CONSECUTIVE_FAILURES = 2
_FAILURES_PER_COMPARISON = 4  # Failures between two comparisons by rate.
_DONE = outcome.Outcome.DONE
_UNREACHABLE = outcome.Outcome.UNREACHABLE


class FailureHistory:
    """Counts failures and the ejections that follow from them.

    Each ejection lasts twice as long as the one before, up to a maximum; time
    without failures shortens the next one again.
    """

    __slots__ = (
        "_consecutive_failures",
        "_consecutive_unreachable",
        "_ejected_until_s",
        "_ejections",
        "_failures",
        "_last_failure_s",
        "_rate",
        "_samples",
        "_settings",
    )

    def __init__(
        self, now_s: float, settings: router_settings.RouterSettings
    ) -> None:
        """Starts without failures or ejections."""
        self._settings = settings
        self._failures = 0
        self._consecutive_failures = 0
        self._consecutive_unreachable = 0
        self._rate = 0.0
        self._samples = 0
        self._ejections = 0
        self._ejected_until_s = 0.0
        self._last_failure_s = now_s

    @property
    def ejected_until_s(self) -> float:
        """Monotonic seconds at the end of the last ejection; 0.0 for none."""
        return self._ejected_until_s

    @property
    def is_failing(self) -> bool:
        """True if at least the last two calls were failures."""
        return self._consecutive_failures >= _MINIMUM_CONSECUTIVE_FAILURES

    def observe(self, now_s: float, result: outcome.Outcome) -> None:
        """Counts an ended call if it is done or one of `outcome.FAILURES`."""
        if result is _DONE:
            self._samples += 1
            self._consecutive_failures = 0
            self._consecutive_unreachable = 0
            self._rate -= _RATE_GAIN * self._rate
            if self._ejections:
                self._shorten_next_ejection(now_s)
        elif result in outcome.FAILURES:
            self._samples += 1
            self._failures += 1
            self._consecutive_failures += 1
            if result is _UNREACHABLE:
                self._consecutive_unreachable += 1
            else:
                self._consecutive_unreachable = 0
            self._rate += _RATE_GAIN * (1.0 - self._rate)
            self._last_failure_s = now_s

    @property
    def rate(self) -> float:
        """Moving average of the failure rate, 0 to 1."""
        return self._rate

    @property
    def needs_comparison(self) -> bool:
        """True if the endpoint is to be compared with its siblings now.

        False for most failures, since the comparison iterates over all
        endpoints of the service.
        """
        settings = self._settings
        threshold = self._threshold
        if (
            self._consecutive_failures >= threshold
            and self._consecutive_failures % threshold == 0
        ):
            return True
        return (
            self._samples >= settings.ejection_samples
            and self._failures % _FAILURES_PER_COMPARISON == 0
            and self._rate > settings.ejection_rate_margin
        )

    def is_outlier(self, siblings_rate: float) -> bool:
        """True if it fails more than its siblings, by rate or in a row.

        Args:
            siblings_rate: Mean failure rate of the other endpoints, 0 to 1.
        """
        settings = self._settings
        if self._consecutive_unreachable >= self._threshold:
            return True  # A service that it calls cannot be the cause.
        if self._consecutive_failures >= self._threshold:
            return siblings_rate < settings.ejection_siblings_rate
        return self._rate > siblings_rate + settings.ejection_rate_margin

    def eject(self, now_s: float) -> None:
        """Begins an ejection and resets the failures that led to it."""
        settings = self._settings
        ejection_s = min(
            settings.ejection_s * 2.0**self._ejections,
            settings.ejection_maximum_s,
        )
        if ejection_s < settings.ejection_maximum_s:
            self._ejections += 1
        self._ejected_until_s = now_s + ejection_s
        self._consecutive_failures = 0
        self._consecutive_unreachable = 0
        self._rate = 0.0
        self._samples = 0

    @property
    def _threshold(self) -> int:
        settings = self._settings
        if self._ejections:
            return settings.repeated_ejection_failures
        return settings.ejection_failures

    def _shorten_next_ejection(self, now_s: float) -> None:
        if now_s - self._last_failure_s >= self._settings.ejection_memory_s:
            self._ejections -= 1
            self._last_failure_s = now_s
