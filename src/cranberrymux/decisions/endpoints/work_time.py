"""Usual working time of the requests that one backend server runs."""

import math

# Weight of one request in the means. Working times vary by a factor of two at
# random; with this weight their mean varies by 4%.
SAMPLE_WEIGHT = 0.005
MINIMUM_SAMPLES = 150  # Fewer say nothing of the difference to other endpoints.
_MINIMUM_WORK_TIME_S = 1e-4  # Shorter times count as this: 0 has no logarithm.
_MINIMUM_LOG = math.log(_MINIMUM_WORK_TIME_S)


class WorkTime:
    """Means over the latest requests of all routes.

    The working time is averaged over logarithms, since a few requests take
    much longer than the others.
    """

    __slots__ = ("_count", "_held_s", "_log_work", "_worked_s")

    def __init__(self) -> None:
        """Starts without requests."""
        self._count = 0
        self._log_work = 0.0
        self._worked_s = 0.0
        self._held_s = 0.0

    @property
    def work_s(self) -> float:
        """Usual working time in seconds; 0.0 before enough requests."""
        if self._count < MINIMUM_SAMPLES:
            return 0.0
        return math.exp(self._log_work)

    @property
    def work_share(self) -> float:
        """Share of the time in a slot that is working time, 0 to 1."""
        if self._held_s <= 0.0:
            return 1.0
        return min(self._worked_s / self._held_s, 1.0)

    def note(self, worked_s: float, held_s: float) -> None:
        """Adds a request that was served.

        Args:
            worked_s: Its working time in seconds, without the time that it
                waited for calls of its own.
            held_s: Seconds for which it held its slot.
        """
        self._count += 1
        is_early = self._count * SAMPLE_WEIGHT < 1.0
        weight = 1.0 / self._count if is_early else SAMPLE_WEIGHT
        log_work = (
            math.log(worked_s)
            if worked_s > _MINIMUM_WORK_TIME_S
            else _MINIMUM_LOG
        )
        self._log_work += weight * (log_work - self._log_work)
        self._worked_s += weight * (worked_s - self._worked_s)
        self._held_s += weight * (held_s - self._held_s)
