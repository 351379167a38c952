"""Sliding-window counts of the requests and repeats of one service."""

import collections
import itertools

from cranberrymux.decisions.retries import repeat_order

SLICES_PER_WINDOW = 20
DEMAND_SLICES = 4  # Complete slices over which demand is averaged.
_HALF_WINDOW_SLICES = SLICES_PER_WINDOW // 2


class ArrivalWindow:
    """Counts first requests, repeats and repeat demand in time slices.

    Requests and repeats are kept for two windows, demand for a part of one.
    """

    def __init__(self, window_s: float) -> None:
        """Creates the window with all counts at zero.

        Args:
            window_s: Length of the window in seconds.
        """
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._firsts: collections.Counter[int] = collections.Counter()
        self._repeats: collections.Counter[int] = collections.Counter()
        self._demands: collections.Counter[
            tuple[int, repeat_order.RepeatOrder]
        ] = collections.Counter()
        self._current_slice = 0

    def note_first(self, now_s: float) -> None:
        """Counts a request that is sent for the first time."""
        self._firsts[self._advance(now_s)] += 1

    def note_repeat(self, now_s: float) -> None:
        """Counts a request that is sent again."""
        self._repeats[self._advance(now_s)] += 1

    def note_demand(
        self, now_s: float, order: repeat_order.RepeatOrder
    ) -> None:
        """Counts an intended repeat, whether or not it will be allowed.

        Args:
            now_s: Monotonic seconds.
            order: Of the request to be repeated.
        """
        self._demands[self._advance(now_s), order] += 1

    def demand_per_s(
        self, now_s: float, order: repeat_order.RepeatOrder
    ) -> float:
        """Returns the recent demand for repeats that come first.

        Args:
            now_s: Monotonic seconds.
            order: Only demand that precedes it is counted.

        Returns:
            Intended repeats a second, averaged over the last `DEMAND_SLICES`
            slices and the current one, or since the first demand in these. A
            mean over all of them would miss a sudden demand, and repeats would
            be spent that more important work needs a second later.
        """
        current = self._advance(now_s)
        first = current
        demand = 0
        for (at, demand_order), count in self._demands.items():
            first = min(first, at)
            if demand_order.precedes(order):
                demand += count
        return demand / max(now_s - first * self._slice_s, self._slice_s)

    def get_return_wait_s(self, now_s: float) -> float:
        """Returns the seconds until most repeats leave the window.

        Repeats that are sent at a steady rate began twice as long ago as they
        are old in the mean. The first of them leave the window one window after
        that, and those that are then sent can take their place.
        """
        first = self._advance(now_s) - SLICES_PER_WINDOW
        count = 0
        age_slices = 0
        for at, repeats in self._repeats.items():
            if at > first:
                count += repeats
                age_slices += repeats * (self._current_slice - at)
        slices = 2.0 * age_slices / max(count, 1)
        return max(SLICES_PER_WINDOW - slices, 0.0) * self._slice_s

    def headroom(self, now_s: float, ratio: float, slack: float) -> float:
        """Returns the repeats that every window containing now still allows.

        A window allows `slack` repeats plus `ratio` times the largest of
        three request counts: of the window itself, of the window before it
        and of the window that began half a window earlier. Windows that have
        not ended use the requests counted so far.

        Args:
            now_s: Monotonic seconds.
            ratio: Allowed repeats for each first request.
            slack: Allowed repeats of a window beyond that.

        Returns:
            The smallest allowance over these windows; negative if one is
            exceeded.
        """
        last = self._advance(now_s)
        first = last - 2 * SLICES_PER_WINDOW
        firsts = _accumulate(self._firsts, first, last)
        repeats = _accumulate(self._repeats, first, last)
        return min(
            slack
            + ratio * _count_eligible_firsts(firsts, start)
            - (repeats[-1] - repeats[start])
            for start in range(SLICES_PER_WINDOW, 2 * SLICES_PER_WINDOW + 1)
        )

    def _advance(self, now_s: float) -> int:
        """Drops old slices and returns the number of the current slice."""
        current = int(now_s / self._slice_s)
        if current > self._current_slice:
            self._current_slice = current
            _drop_before(self._firsts, current - 2 * SLICES_PER_WINDOW)
            _drop_before(self._repeats, current - 2 * SLICES_PER_WINDOW)
            for key in [
                x for x in self._demands if x[0] < current - DEMAND_SLICES
            ]:
                del self._demands[key]
        return self._current_slice


def _count_eligible_firsts(sums: list[int], start: int) -> int:
    """Returns the first requests that entitle a window to repeats.

    Args:
        sums: Running totals; entry `i` counts the requests before slice `i`.
        start: Index of the first slice of the window.
    """
    before = sums[start] - sums[start - SLICES_PER_WINDOW]
    halfway = (
        sums[min(start + _HALF_WINDOW_SLICES, len(sums) - 1)]
        - sums[start - _HALF_WINDOW_SLICES]
    )
    return max(before, halfway, sums[-1] - sums[start])


def _accumulate(
    counts: collections.Counter[int], first: int, last: int
) -> list[int]:
    """Returns the running totals before each slice and after the last."""
    values = (counts[at] for at in range(first, last + 1))
    return list(itertools.accumulate(values, initial=0))


def _drop_before(counts: collections.Counter[int], first: int) -> None:
    for at in [x for x in counts if x < first]:
        del counts[at]
