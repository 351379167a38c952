"""Detection of a backend server that no longer answers.

A hanging backend server still accepts requests. Those that it holds are lost
at their deadlines, and until then nothing else makes callers send the next
ones elsewhere.
"""

WORK_TIME_WEIGHT = 0.05  # Weight of one request in the mean working time.
MINIMUM_ANSWERS = 10  # Answers needed before the mean working time is used.
# Expected answers that have not come; a stall needs more than this.
MAXIMUM_MISSED_ANSWERS = 15.0
MINIMUM_STALL_S = 0.2  # A stall needs a longer time without answers than this.
# Longest time counted between two updates; if more has passed, this node
# itself was stopped.
MAXIMUM_STEP_S = 0.1
PROBE_INTERVAL_S = 1.0  # Interval between the probes admitted during a stall.
_MINIMUM_WORK_TIME_S = 0.001  # Lower bound of the mean, which is a divisor.


class StallDetector:
    """Counts the answers expected since the last one.

    The number expected follows from the mean working time and the number of
    requests that the backend server works on.

    Attributes:
        is_stalled: True while too many expected answers are missing.
    """

    def __init__(self) -> None:
        """Starts without a mean working time, so that nothing is expected."""
        self._mean_work_time_s = 0.0
        self._answers = 0
        self._missed_answers = 0.0
        self._unanswered_s = 0.0
        self._updated_at_s = 0.0
        self._next_probe_at_s = 0.0
        self.is_stalled = False

    def update(self, now_s: float, working: int) -> None:
        """Adds the answers expected since the last update.

        Args:
            now_s: Monotonic time in seconds.
            working: Number of requests that the backend server has worked on
                since the last update, without those that wait for calls of
                their own.
        """
        elapsed_s = now_s - self._updated_at_s
        self._updated_at_s = now_s
        if working and self._answers >= MINIMUM_ANSWERS and elapsed_s > 0.0:
            step_s = elapsed_s if elapsed_s < MAXIMUM_STEP_S else MAXIMUM_STEP_S
            self._missed_answers += step_s * working / self._mean_work_time_s
            self._unanswered_s += step_s
            self.is_stalled = (
                self._missed_answers > MAXIMUM_MISSED_ANSWERS
                and self._unanswered_s > MINIMUM_STALL_S
            )

    def note_answer(self, worked_s: float) -> None:
        """Ends a stall and adds the answer to the mean working time.

        Args:
            worked_s: Working time of the answered request in seconds, without
                the time that it waited for calls of its own.
        """
        self._missed_answers = 0.0
        self._unanswered_s = 0.0
        self.is_stalled = False
        self._answers += 1
        old_mean_s = self._mean_work_time_s or worked_s
        mean_s = old_mean_s + WORK_TIME_WEIGHT * (worked_s - old_mean_s)
        is_long = mean_s > _MINIMUM_WORK_TIME_S
        self._mean_work_time_s = mean_s if is_long else _MINIMUM_WORK_TIME_S

    def note_activity(self) -> None:
        """Ends a stall on a sign of life other than an answer.

        Half of the missed answers that make a stall remain counted.
        """
        self._missed_answers = min(
            self._missed_answers, MAXIMUM_MISSED_ANSWERS / 2
        )
        self.is_stalled = False

    def admits(self, now_s: float) -> bool:
        """True if a request may be sent: without a stall, or as a probe.

        During a stall one request per `PROBE_INTERVAL_S` is admitted.
        """
        if not self.is_stalled:
            return True
        if now_s < self._next_probe_at_s:
            return False
        self._next_probe_at_s = now_s + PROBE_INTERVAL_S
        return True
