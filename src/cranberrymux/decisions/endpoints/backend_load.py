"""Load and speed of one backend server, for the report to callers.

All that the backend server says of itself counts only within what its node,
through which all its requests pass, measures.
"""

import math

from cranberrymux.decisions.endpoints import claimed_slowness
from cranberrymux.decisions.endpoints import decaying_value
from cranberrymux.decisions.endpoints import work_time
from cranberrymux.models import endpoint_speed
from cranberrymux.models import load_figures

FIGURES_LIFETIME_S = 0.5  # Age from which load figures have no weight.
# Time in which a backend server ends the requests that their callers gave up.
_ABANDONED_TIME_S = 2.0


class BackendLoad:
    """Combines the figures of a backend server with its node's measurements.

    Attributes:
        surplus: How many requests more than its node counts it says it has.
    """

    def __init__(self) -> None:
        """Starts without figures and requests."""
        self._work = work_time.WorkTime()
        self._claimed = claimed_slowness.ClaimedSlowness()
        self._abandoned = decaying_value.DecayingValue(_ABANDONED_TIME_S)
        self._slots = 0
        self.surplus = 0
        self._figures_at_s = -math.inf

    def note_figures(
        self, now_s: float, figures: load_figures.LoadFigures, running: int
    ) -> None:
        """Stores the figures of an answer.

        Args:
            now_s: Monotonic time in seconds.
            figures: The figures.
            running: Requests that the node has sent and that have not ended.
        """
        self._figures_at_s = now_s
        # It can hold no fewer requests than it does.
        self._slots = max(figures.slots, running)
        self.surplus = max(figures.running + figures.waiting - running, 0)
        if figures.slowness is not None:
            self._claimed.note_claim(now_s, figures.slowness)

    def note_served(
        self, now_s: float, worked_s: float, held_s: float, log_ratio: float
    ) -> None:
        """Adds a request that was served.

        Args:
            now_s: Monotonic time in seconds.
            worked_s: Its working time in seconds, without the time that it
                waited for calls of its own.
            held_s: Seconds for which it held its slot.
            log_ratio: Logarithm of the ratio of its working time to the usual
                one of its route.
        """
        self._work.note(worked_s, held_s)
        if now_s - self._claimed.claimed_at_s <= claimed_slowness.LIFETIME_S:
            self._claimed.note_work(now_s, log_ratio)

    def note_abandoned(self, now_s: float) -> None:
        """Counts a request that ended for its node without an answer."""
        self._abandoned.set(now_s, self._abandoned.at(now_s) + 1.0)

    def count_surplus(self, now_s: float) -> int:
        """Returns how many requests it runs that its node no longer counts.

        They are at most as many as the node has recently given up.
        """
        if not self.surplus or not self._is_recent(now_s):
            return 0
        return min(self.surplus, round(self._abandoned.at(now_s)))

    def get_speed(self, now_s: float) -> endpoint_speed.EndpointSpeed | None:
        """Returns its speed; None before enough requests were served."""
        work_s = self._work.work_s
        if not work_s:
            return None
        return endpoint_speed.EndpointSpeed(
            self._slots if self._is_recent(now_s) else 0,
            work_s,
            self._work.work_share,
            self._claimed.at(now_s),
        )

    def _is_recent(self, now_s: float) -> bool:
        return now_s - self._figures_at_s < FIGURES_LIFETIME_S
