"""Token bucket that limits the retries on one service edge."""

from cranberrymux.decisions.retries import retry_settings

# Parts of the window that are counted on their own and lapse at once.
INTERVALS_PER_WINDOW = 10


class EdgeBucket:
    """Token bucket that is filled by successes of a sliding window.

    Each success earns `edge_ratio` retries. They lapse together with those of
    the same interval, at the latest `edge_window_s` after the success. A floor
    of `edge_floor_per_s` needs no success.
    """

    __slots__ = (
        "_earned",
        "_floor",
        "_interval",
        "_interval_s",
        "_oldest",
        "_settings",
        "_tokens",
        "_updated_s",
    )

    def __init__(
        self, now_s: float, settings: retry_settings.RetrySettings
    ) -> None:
        """Creates a bucket that holds one retry from the floor, if any."""
        self._settings = settings
        self._interval_s = settings.edge_window_s / INTERVALS_PER_WINDOW
        self._interval = int(now_s // self._interval_s)
        # Interval before which no earned token is left.
        self._oldest = self._interval
        # Earned tokens by interval, at its number modulo the length.
        self._earned = [0.0] * INTERVALS_PER_WINDOW
        self._tokens = 0.0
        self._floor = 1.0 if settings.edge_floor_per_s > 0.0 else 0.0
        self._updated_s = now_s

    def record_success(self, now_s: float) -> None:
        """Adds the tokens that one answered call earns.

        They replace the oldest ones if the bucket is full.
        """
        self._update(now_s)
        settings = self._settings
        self._earned[self._interval % INTERVALS_PER_WINDOW] += (
            settings.edge_ratio
        )
        self._tokens += settings.edge_ratio
        if self._tokens > settings.edge_capacity:
            self._remove_oldest(self._tokens - settings.edge_capacity)

    def has_retry(self, now_s: float) -> bool:
        """Returns whether a retry is available, without taking it."""
        self._update(now_s)
        return self._tokens >= 1.0 or self._floor >= 1.0

    def take(self, now_s: float) -> bool:
        """Takes one retry, earned ones first; returns False if none is left."""
        self._update(now_s)
        if self._tokens >= 1.0:
            self._remove_oldest(1.0)
            return True
        if self._floor >= 1.0:
            self._floor -= 1.0
            return True
        return False

    def _update(self, now_s: float) -> None:
        """Drops the tokens that have lapsed and refills the floor up to now."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        refilled = self._floor + elapsed_s * self._settings.edge_floor_per_s
        self._floor = min(refilled, 1.0)
        self._updated_s = now_s
        interval = int(now_s // self._interval_s)
        if interval != self._interval:
            self._begin_interval(interval)

    def _begin_interval(self, interval: int) -> None:
        """Reuses the places of the intervals that have left the window."""
        begun = min(interval - self._interval, INTERVALS_PER_WINDOW)
        for number in range(interval - begun + 1, interval + 1):
            self._earned[number % INTERVALS_PER_WINDOW] = 0.0
        self._interval = interval
        self._oldest = max(self._oldest, interval - INTERVALS_PER_WINDOW + 1)
        self._tokens = sum(self._earned)

    def _remove_oldest(self, tokens: float) -> None:
        self._tokens -= tokens
        while self._oldest < self._interval:
            place = self._oldest % INTERVALS_PER_WINDOW
            if self._earned[place] >= tokens:
                break
            tokens -= self._earned[place]
            self._earned[place] = 0.0
            self._oldest += 1
        place = self._oldest % INTERVALS_PER_WINDOW
        self._earned[place] = max(self._earned[place] - tokens, 0.0)
