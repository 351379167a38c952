"""Shed levels of the services that the backend server calls."""


class DownstreamLevels:
    """Tracks downstream shed levels, so that doomed calls are refused early.

    A level expires if it is not received again: later calls then find out
    whether the downstream service has recovered.
    """

    def __init__(self, ttl_s: float, maximum_level: int) -> None:
        """Starts with every service at the level that refuses nothing.

        Args:
            ttl_s: Seconds after which a received level expires.
            maximum_level: The level that refuses nothing.
        """
        self._ttl_s = ttl_s
        self._maximum_level = maximum_level
        self._levels: dict[str, tuple[int, float]] = {}
        self._last_minimum = maximum_level

    @property
    def last_minimum(self) -> int:
        """Lowest level as of the last update, which may have expired."""
        return self._last_minimum

    def update(self, now_s: float, service: str, level: int) -> None:
        """Records the level in an answer of a downstream service."""
        if level >= self._maximum_level and service not in self._levels:
            return
        self._levels[service] = (level, now_s + self._ttl_s)
        self._last_minimum = min(entry[0] for entry in self._levels.values())

    def get_minimum(self, now_s: float) -> int:
        """Drops expired levels and returns the lowest of the others."""
        if not self._levels:
            return self._maximum_level
        for service, (level, expires_s) in list(self._levels.items()):
            if expires_s <= now_s or level >= self._maximum_level:
                del self._levels[service]
        self._last_minimum = min(
            (entry[0] for entry in self._levels.values()),
            default=self._maximum_level,
        )
        return self._last_minimum
