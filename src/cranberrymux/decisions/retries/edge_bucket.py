"""Token bucket that limits the retries on one service edge."""

from cranberrymux.decisions.retries import retry_settings


class EdgeBucket:
    """Token bucket that is filled by successes and decays over time.

    Each success earns `edge_ratio` retries, which decay over `edge_window_s`.
    A floor of `edge_floor_per_s` needs no success.
    """

    __slots__ = ("_floor", "_settings", "_tokens", "_updated_s")

    def __init__(
        self, now_s: float, settings: retry_settings.RetrySettings
    ) -> None:
        """Creates a bucket that holds one retry from the floor, if any."""
        self._settings = settings
        self._tokens = 0.0
        self._floor = 1.0 if settings.edge_floor_per_s > 0.0 else 0.0
        self._updated_s = now_s

    def record_success(self, now_s: float) -> None:
        """Adds the tokens that one answered call earns."""
        self._update(now_s)
        settings = self._settings
        self._tokens = min(
            self._tokens + settings.edge_ratio, settings.edge_capacity
        )

    def has_retry(self, now_s: float) -> bool:
        """Returns whether a retry is available, without taking it."""
        self._update(now_s)
        return self._tokens >= 1.0 or self._floor >= 1.0

    def take(self, now_s: float) -> bool:
        """Takes one retry, earned ones first; returns False if none is left."""
        self._update(now_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if self._floor >= 1.0:
            self._floor -= 1.0
            return True
        return False

    def _update(self, now_s: float) -> None:
        """Decays the earned tokens and refills the floor up to now."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        if elapsed_s == 0.0:
            return
        settings = self._settings
        kept = max(1.0 - elapsed_s / settings.edge_window_s, 0.0)
        self._tokens *= kept
        refilled = self._floor + elapsed_s * settings.edge_floor_per_s
        self._floor = min(refilled, 1.0)
        self._updated_s = now_s
