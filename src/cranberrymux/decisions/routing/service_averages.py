"""What the endpoints of a service are like on average."""

_LATENCY_GAIN = 0.02
_LOAD_GAIN = 0.05


class ServiceAverages:
    """Moving averages that one endpoint is compared with.

    Attributes:
        latency_s: Latency of done calls; 0.0 before the first.
    """

    __slots__ = ("_age_s", "_load", "_told_s", "latency_s")

    def __init__(self, now_s: float, age_s: float) -> None:
        """Starts with nothing known.

        Args:
            now_s: Monotonic seconds.
            age_s: Time after which a load told counts nothing.
        """
        self.latency_s = 0.0
        self._age_s = age_s
        self._load = 0.0
        self._told_s = now_s

    def load(self, now_s: float) -> float:
        """Average load that endpoints told of late; 0.0 if none did."""
        left_s = self._age_s - (now_s - self._told_s)
        return 0.0 if left_s <= 0.0 else self._load * left_s / self._age_s

    def observe_latency(self, latency_s: float) -> None:
        """Takes the latency of a done call."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += _LATENCY_GAIN * (latency_s - self.latency_s)

    def observe_load(self, now_s: float, load: float) -> None:
        """Takes the load that an endpoint told."""
        self._load += _LOAD_GAIN * (load - self._load)
        self._told_s = now_s
