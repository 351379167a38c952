"""Retries earned by successes on one service edge."""

from cranberrymux.decisions.retries import retry_settings


class EdgeBucket:
    """A token bucket that successes fill and time empties.

    Retries are at most the stated share of recent successes, above a floor
    of one retry in a stated time.
    """

    __slots__ = ("_floor", "_settings", "_tokens", "_updated_s")

    def __init__(
        self, now_s: float, settings: retry_settings.RetrySettings
    ) -> None:
        """Starts with the floor's one retry."""
        self._settings = settings
        self._tokens = 0.0
        self._floor = 1.0 if settings.edge_floor_per_s > 0.0 else 0.0
        self._updated_s = now_s

    def succeed(self, now_s: float) -> None:
        """Counts an answered call."""
        self._age(now_s)
        settings = self._settings
        self._tokens = min(
            self._tokens + settings.edge_ratio, settings.edge_maximum
        )

    def has_retry(self, now_s: float) -> bool:
        """True if a retry may be made."""
        self._age(now_s)
        return self._tokens >= 1.0 or self._floor >= 1.0

    def take(self, now_s: float) -> bool:
        """Takes a retry; False if there is none."""
        self._age(now_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if self._floor >= 1.0:
            self._floor -= 1.0
            return True
        return False

    def _age(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        if elapsed_s == 0.0:
            return
        settings = self._settings
        kept = max(1.0 - elapsed_s / settings.edge_window_s, 0.0)
        self._tokens *= kept
        risen = self._floor + elapsed_s * settings.edge_floor_per_s
        self._floor = min(risen, 1.0)
        self._updated_s = now_s
