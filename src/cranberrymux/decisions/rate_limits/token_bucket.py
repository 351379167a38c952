"""Token bucket that holds one backend server to its rate limit."""

BURST_S = 0.25  # Time whose requests may be sent at once.
# A backend server tells only in answers that its limit has ended, so that it
# gets some requests under any limit.
MINIMUM_PER_S = 0.25
_EPSILON = 1e-9  # Keeps rounding errors from delaying a token.


class TokenBucket:
    """Gives one token per request that may be sent.

    It starts empty: what was sent before the limit was known counts, too.
    """

    def __init__(self, now_s: float, per_s: float) -> None:
        """Starts without tokens.

        Args:
            now_s: Monotonic seconds.
            per_s: Requests a second; at least `MINIMUM_PER_S` is used.
        """
        self._tokens = 0.0
        self._updated_s = now_s
        self._per_s = max(per_s, MINIMUM_PER_S)

    @property
    def per_s(self) -> float:
        """Requests a second."""
        return self._per_s

    def set_rate(self, now_s: float, per_s: float) -> None:
        """Applies another limit; tokens above its capacity are lost."""
        self._refill(now_s)
        self._per_s = max(per_s, MINIMUM_PER_S)
        self._refill(now_s)

    def has_token(self, now_s: float) -> bool:
        """Returns whether a request may be sent."""
        self._refill(now_s)
        return self._tokens >= 1.0 - _EPSILON

    def take(self, now_s: float) -> None:
        """Takes the token of a request; to be called if there is one."""
        self._refill(now_s)
        self._tokens = max(self._tokens - 1.0, 0.0)

    def wait_s(self, now_s: float, requests: int) -> float:
        """Returns the seconds until so many requests could have been sent."""
        self._refill(now_s)
        return max(requests - self._tokens, 0.0) / self._per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        capacity = max(BURST_S * self._per_s, 1.0)
        self._tokens = min(self._tokens + elapsed_s * self._per_s, capacity)
