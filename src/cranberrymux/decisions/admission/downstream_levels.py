"""Shed levels of the services that the backend server calls."""


class DownstreamLevels:
    """Tracks downstream shed levels, so that doomed calls are refused early.

    A level expires if it is not received again: later calls then find out
    whether the downstream service has recovered.
    """

    def __init__(self, life_s: float, top: int) -> None:
        """Starts with every service at the level that refuses nothing.

        Args:
            life_s: Seconds after which a received level expires.
            top: The level that refuses nothing.
        """
        self._ttl_s = life_s
        self._top = top
        self._levels: dict[str, tuple[int, float]] = {}
        self._minimum = top

    @property
    def minimum(self) -> int:
        """Lowest level as of the last update, which may have expired."""
        return self._minimum

    def hear(self, now_s: float, service: str, level: int) -> None:
        """Records the level in an answer of a downstream service."""
        if level >= self._top and service not in self._levels:
            return
        self._levels[service] = (level, now_s + self._ttl_s)
        self._minimum = min(entry[0] for entry in self._levels.values())

    def get_minimum(self, now_s: float) -> int:
        """Drops expired levels and returns the lowest of the others."""
        if not self._levels:
            return self._top
        for service, (level, expires_s) in list(self._levels.items()):
            if expires_s <= now_s or level >= self._top:
                del self._levels[service]
        self._minimum = min(
            (entry[0] for entry in self._levels.values()), default=self._top
        )
        return self._minimum
