"""The levels of the services that the backend server calls."""


class DownstreamLevels:
    """Lets an endpoint refuse early what a deeper service would refuse.

    A level ages: one that was not heard again counts as open, so that calls
    find out whether the deeper service has recovered.
    """

    def __init__(self, life_s: float, top: int) -> None:
        """Starts with every service open."""
        self._life_s = life_s
        self._top = top
        self._levels: dict[str, tuple[int, float]] = {}
        self._minimum = top

    @property
    def minimum(self) -> int:
        """The lowest level as it was last found."""
        return self._minimum

    def hear(self, now_s: float, service: str, level: int) -> None:
        """Takes the level from an answer of a deeper service."""
        if level >= self._top and service not in self._levels:
            return
        self._levels[service] = (level, now_s + self._life_s)
        self._minimum = min(one[0] for one in self._levels.values())

    def get_minimum(self, now_s: float) -> int:
        """Returns the lowest level that is not too old."""
        if not self._levels:
            return self._top
        for service, (level, expires_s) in list(self._levels.items()):
            if expires_s <= now_s or level >= self._top:
                del self._levels[service]
        self._minimum = min(
            (one[0] for one in self._levels.values()), default=self._top
        )
        return self._minimum
