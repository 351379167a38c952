"""A request that the backend server runs, and its calls."""

from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import hop


class RunningRequest:
    """Calls of one request that the backend server beside this node runs.

    Attributes:
        tree_context: What the node where its tree began says of the tree.
        report: Work of its calls so far, by service.
        answered_calls: Number of its calls that succeeded.
        call_wait_s: Seconds for which it waited for calls.
        has_failed_call: True once one of its calls failed.
        open_calls: Number of its calls that are not answered.
    """

    __slots__ = (
        "_usual_calls",
        "_waiting_since_s",
        "answered_calls",
        "call_wait_s",
        "has_failed_call",
        "open_calls",
        "report",
        "tree_context",
    )

    def __init__(
        self, tree_context: hop.TreeContext, usual_calls: float = 0.0
    ) -> None:
        """Starts without calls.

        Args:
            tree_context: What the node where its tree began says of the tree.
            usual_calls: Mean number of calls of such requests; 0.0 if it is
                not known.
        """
        self.tree_context = tree_context
        self._usual_calls = usual_calls
        self.answered_calls = 0
        self.report: work_report.WorkReport = {}
        self.call_wait_s = 0.0
        self.has_failed_call = False
        self.open_calls = 0
        self._waiting_since_s = 0.0

    @property
    def depends_on_call(self) -> bool:
        """True if a failure now would be due to a call, not to itself."""
        return self.has_failed_call or self.open_calls > 0

    @property
    def remaining_calls(self) -> int:
        """Calls that it still needs to end, an open one included; at least 1.

        1 if it is not known how many such requests make.
        """
        return max(round(self._usual_calls) - self.answered_calls, 1)

    def begin_call(self, now_s: float) -> None:
        """Records the start of a call."""
        if not self.open_calls:
            self._waiting_since_s = now_s
        self.open_calls += 1

    def end_call(self, now_s: float, is_failed: bool) -> None:
        """Records the end of a call.

        Args:
            now_s: Monotonic seconds.
            is_failed: True if the call did not succeed.
        """
        self.open_calls -= 1
        if not self.open_calls:
            self.call_wait_s += now_s - self._waiting_since_s
        if is_failed:
            self.has_failed_call = True
        else:
            self.answered_calls += 1
