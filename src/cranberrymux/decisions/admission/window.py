"""Counters of one measurement window."""


class Window:
    """What happened at an endpoint since the last adjustment of its limits.

    Attributes:
        began_s: Monotonic seconds at which the window began.
        started: Number of calls that got a slot.
        finished: Number of calls that freed a slot.
        shed: Number of calls that reached the maximum length or wait of the
            queue.
        peak: Largest number of calls that ran at once.
    """

    __slots__ = ("began_s", "finished", "peak", "shed", "started", "_wait_s")

    def __init__(self, began_s: float) -> None:
        """Starts with all counters at zero."""
        self.began_s = began_s
        self.started = 0
        self.finished = 0
        self.shed = 0
        self.peak = 0
        self._wait_s = 0.0

    @property
    def mean_wait_s(self) -> float:
        """Mean queue wait of the started calls, in seconds."""
        return self._wait_s / self.started if self.started else 0.0

    def count_start(self, waited_s: float, in_flight: int) -> None:
        """Counts a call that got a slot after `waited_s` in the queue."""
        self.started += 1
        self._wait_s += waited_s
        self.peak = max(self.peak, in_flight)
