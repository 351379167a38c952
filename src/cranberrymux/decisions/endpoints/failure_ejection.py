"""Keeps requests away from an endpoint that fails most of them.

Guards against an endpoint that hangs or fails while the others of its service
are full: it looks cheaper than a queue, and trees with several calls lose
nearly always at least one of them there.
"""

# An endpoint that fails a smaller share still serves more than it loses.
EJECTION_FAILURE_RATE = 0.5
EJECTION_S = 2.0


class FailureEjection:
    """Circuit breaker of one endpoint at one node.

    After `EJECTION_S` one request at a time tells whether it serves again. One
    more may be sent for each `EJECTION_S` that passes without an answer, since
    a request may last long.
    """

    __slots__ = ("until_s",)

    def __init__(self) -> None:
        """Starts without an ejection."""
        self.until_s: float | None = None

    def note_rate(self, now_s: float, failure_rate: float) -> None:
        """Records the failure rate after an answer, 0 to 1."""
        if failure_rate > EJECTION_FAILURE_RATE:
            self.until_s = now_s + EJECTION_S
        else:
            self.until_s = None

    def is_ejected(self, now_s: float, outstanding: int) -> bool:
        """True if the endpoint gets no request now.

        Args:
            now_s: Monotonic seconds.
            outstanding: Requests of this node that have not ended there.
        """
        if self.until_s is None:
            return False
        if now_s < self.until_s:
            return True
        return outstanding > (now_s - self.until_s) // EJECTION_S
