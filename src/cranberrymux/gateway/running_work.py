"""What is known of the requests that the backend server runs."""

from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import hop


class RunningWork:
    """A request that the backend server beside this node runs.

    Attributes:
        standing: What is known of its tree.
        report: What its calls cost so far.
        called_s: Time for which it waited for calls.
        has_failed_call: True once a call of it failed.
        open_calls: Calls of it that are not answered.
    """

    __slots__ = (
        "_waits_since_s",
        "called_s",
        "has_failed_call",
        "open_calls",
        "report",
        "standing",
    )

    def __init__(self, standing: hop.Standing) -> None:
        """Starts without calls."""
        self.standing = standing
        self.report: work_report.WorkReport = {}
        self.called_s = 0.0
        self.has_failed_call = False
        self.open_calls = 0
        self._waits_since_s = 0.0

    @property
    def depends_on_call(self) -> bool:
        """True if its end, now, would be due to a call and not to itself."""
        return self.has_failed_call or self.open_calls > 0

    def begin_call(self, now_s: float) -> None:
        """Takes note that it makes a call."""
        if not self.open_calls:
            self._waits_since_s = now_s
        self.open_calls += 1

    def end_call(self, now_s: float, is_failed: bool) -> None:
        """Takes note that a call of it ended."""
        self.open_calls -= 1
        if not self.open_calls:
            self.called_s += now_s - self._waits_since_s
        self.has_failed_call = self.has_failed_call or is_failed
