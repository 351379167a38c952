"""Whether a backend server has fallen silent.

Answers the pattern in which a backend server takes requests and answers none:
those that it holds are lost at their deadlines, and until then nothing else
tells callers to send their next ones elsewhere.
"""

WORK_WEIGHT = 0.05  # Weight of one request in the mean working time.
LEAST_SERVED = 10  # Requests before the mean says anything.
# Answers that were to be expected when the silence began, and did not come.
MISSED_ANSWERS = 15.0
SHORTEST_S = 0.2  # Silence that is never a stall.
LONGEST_STEP_S = 0.1  # A longer time without events was a stop of this node.
PROBE_S = 1.0  # Time between requests that are let through in a stall.
_SHORTEST_WORK_S = 0.001


class Stall:
    """Counts the answers that should have come since the last one."""

    def __init__(self) -> None:
        """Starts without experience."""
        self._work_s = 0.0
        self._served = 0
        self._missed = 0.0
        self._silent_s = 0.0
        self._updated_s = 0.0
        self._probe_s = 0.0

    @property
    def is_stalled(self) -> bool:
        """True while requests should go elsewhere."""
        return self._missed > MISSED_ANSWERS and self._silent_s > SHORTEST_S

    def update(self, now_s: float, working: int) -> None:
        """Lets time pass.

        Args:
            now_s: Present time.
            working: Requests that were worked on since the last update; not
                those that wait for calls of theirs.
        """
        span_s = min(max(now_s - self._updated_s, 0.0), LONGEST_STEP_S)
        self._updated_s = now_s
        if working and self._served >= LEAST_SERVED:
            self._missed += span_s * working / self._work_s
            self._silent_s += span_s

    def note_answer(self, worked_s: float) -> None:
        """Takes an answer, and for how long it was worked on."""
        self._missed = 0.0
        self._silent_s = 0.0
        self._served += 1
        known = self._work_s or worked_s
        mean_s = known + WORK_WEIGHT * (worked_s - known)
        self._work_s = max(mean_s, _SHORTEST_WORK_S)

    def note_sign_of_life(self) -> None:
        """Takes any other word of the backend server."""
        self._missed = min(self._missed, MISSED_ANSWERS / 2)

    def admits(self, now_s: float) -> bool:
        """True if a request may go there: there is no stall, or as a probe."""
        if not self.is_stalled:
            return True
        if now_s < self._probe_s:
            return False
        self._probe_s = now_s + PROBE_S
        return True
