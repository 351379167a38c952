"""Average latency and load of the endpoints of one service."""

_LATENCY_GAIN = 0.02  # Weight of one call in the moving average.
_LOAD_GAIN = 0.05  # Weight of one report in the moving average.


class ServiceAverages:
    """Moving averages with which single endpoints are compared.

    Attributes:
        latency_s: Average latency of done calls in seconds; 0.0 before the
            first.
    """

    __slots__ = ("_age_s", "_load", "_load_updated_s", "latency_s")

    def __init__(self, now_s: float, age_s: float) -> None:
        """Starts without latency and load.

        Args:
            now_s: Monotonic time in seconds.
            age_s: Age in seconds from which the average load counts as 0.0.
        """
        self.latency_s = 0.0
        self._age_s = age_s
        self._load = 0.0
        self._load_updated_s = now_s

    def load(self, now_s: float) -> float:
        """Average reported load, 0 to 1, falling to 0.0 without reports."""
        remaining_s = self._age_s - (now_s - self._load_updated_s)
        return (
            0.0
            if remaining_s <= 0.0
            else self._load * remaining_s / self._age_s
        )

    def observe_latency(self, latency_s: float) -> None:
        """Adds the latency of a done call to the average."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += _LATENCY_GAIN * (latency_s - self.latency_s)

    def observe_load(self, now_s: float, load: float) -> None:
        """Adds a load, 0 to 1, reported by an endpoint to the average."""
        self._load += _LOAD_GAIN * (load - self._load)
        self._load_updated_s = now_s
