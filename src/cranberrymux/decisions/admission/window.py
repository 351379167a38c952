"""What one window of measurement counted."""


class Window:
    """Counters between two moves of the level.

    Attributes:
        began_s: Monotonic seconds at which it began.
        started: Calls that got a slot.
        finished: Calls that freed a slot.
        shed: Calls that the queue cost.
        peak: Most calls that ran at once.
    """

    __slots__ = ("began_s", "finished", "peak", "shed", "started", "_wait_s")

    def __init__(self, began_s: float) -> None:
        """Starts at zero."""
        self.began_s = began_s
        self.started = 0
        self.finished = 0
        self.shed = 0
        self.peak = 0
        self._wait_s = 0.0

    @property
    def mean_wait_s(self) -> float:
        """Mean seconds in the queue of the calls that started."""
        return self._wait_s / self.started if self.started else 0.0

    def count_start(self, waited_s: float, in_flight: int) -> None:
        """Counts a call that got a slot."""
        self.started += 1
        self._wait_s += waited_s
        self.peak = max(self.peak, in_flight)
