"""The part of the offered work that holds slots of the backend server.

The rest is refused by the backend server itself, while slots may be idle.
"""

import math

TIME_CONSTANT_S = 0.3  # Of the means. A refusal may be counted after the work.


class HeldRatio:
    """Ratio of the work that is not refused to all that is offered."""

    def __init__(self) -> None:
        """Starts without work."""
        self._offered_s = 0.0
        self._refused_s = 0.0
        self._new_refused_s = 0.0

    @property
    def value(self) -> float:
        """The ratio, 0.0 to 1.0; 1.0 while nothing was refused."""
        if self._refused_s <= 0.0:
            return 1.0
        return max(1.0 - self._refused_s / max(self._offered_s, 1e-6), 0.0)

    def note_refused(self, work_s: float) -> None:
        """Counts expected work, in seconds, of a refused request."""
        self._new_refused_s += work_s

    def roll(self, elapsed_s: float, work_s: float) -> None:
        """Ends a window.

        Args:
            elapsed_s: Its length in seconds.
            work_s: Seconds of work that were offered in it.
        """
        kept = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._offered_s = kept * self._offered_s + work_s
        self._refused_s = kept * self._refused_s + self._new_refused_s
        self._new_refused_s = 0.0
