"""Good and bad answers over time."""

import array
import bisect
from collections.abc import Iterable
import itertools

from cranberrymux.decisions.burn import tally

BUCKET_S = 10


class OutcomeSeries:
    """Answers of one objective in buckets of `BUCKET_S` seconds."""

    def __init__(self) -> None:
        """Starts empty."""
        self._buckets: dict[int, list[int]] = {}
        self._starts_s = array.array("q")
        self._goods = array.array("q")
        self._totals = array.array("q")
        self._is_sorted = False

    @property
    def first_s(self) -> int | None:
        """Start of the first bucket, Unix seconds; None if empty."""
        return min(self._buckets) if self._buckets else None

    def add(self, second: int, good: int, total: int) -> None:
        """Adds answers, in any order of time.

        Args:
            second: Unix time in seconds.
            good: Good answers.
            total: All answers.
        """
        start_s = second - second % BUCKET_S
        bucket = self._buckets.setdefault(start_s, [0, 0])
        bucket[0] += good
        bucket[1] += total
        self._is_sorted = False

    def first_within(self, from_s: int, until_s: int) -> int | None:
        """Start of the first bucket from one time until before another."""
        self._sort()
        index = bisect.bisect_left(self._starts_s, from_s)
        if index == len(self._starts_s) or self._starts_s[index] >= until_s:
            return None
        return self._starts_s[index]

    def within(self, from_s: int, until_s: int) -> tally.Tally:
        """Answers from one time until before another, Unix seconds.

        A bucket counts if its start does.
        """
        self._sort()
        low = bisect.bisect_left(self._starts_s, from_s)
        high = max(low, bisect.bisect_left(self._starts_s, until_s))
        return tally.Tally(
            self._goods[high] - self._goods[low],
            self._totals[high] - self._totals[low],
        )

    def _sort(self) -> None:
        if self._is_sorted:
            return
        starts_s = sorted(self._buckets)
        self._starts_s = array.array("q", starts_s)
        self._goods = _prefix_sums(self._buckets[s][0] for s in starts_s)
        self._totals = _prefix_sums(self._buckets[s][1] for s in starts_s)
        self._is_sorted = True


def _prefix_sums(values: Iterable[int]) -> "array.array[int]":
    return array.array("q", itertools.accumulate(values, initial=0))
