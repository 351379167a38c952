"""Time series of good and bad answers."""

import array
import bisect
from collections.abc import Iterable
import itertools

from cranberrymux.decisions.burn import tally

BUCKET_S = 10


class OutcomeSeries:
    """Counts the answers of one objective in buckets of `BUCKET_S` seconds."""

    def __init__(self) -> None:
        """Creates a series without answers."""
        self._buckets: dict[int, list[int]] = {}
        self._bucket_starts_s = array.array("q")
        self._good_sums = array.array("q")
        self._total_sums = array.array("q")
        self._is_sorted = False

    @property
    def first_s(self) -> int | None:
        """Start of the first bucket, Unix seconds; None if empty."""
        return min(self._buckets) if self._buckets else None

    def add(self, second: int, good: int, total: int) -> None:
        """Adds answers; times may come in any order.

        Args:
            second: Unix time in seconds.
            good: Number of good answers.
            total: Number of all answers.
        """
        start_s = second - second % BUCKET_S
        bucket = self._buckets.setdefault(start_s, [0, 0])
        bucket[0] += good
        bucket[1] += total
        self._is_sorted = False

    def find_first_start_s(self, from_s: int, until_s: int) -> int | None:
        """Returns the start of the first bucket in a period; None if none is.

        Args:
            from_s: Start of the period, Unix seconds.
            until_s: End of the period, exclusive, Unix seconds.
        """
        self._sort()
        index = bisect.bisect_left(self._bucket_starts_s, from_s)
        if (
            index == len(self._bucket_starts_s)
            or self._bucket_starts_s[index] >= until_s
        ):
            return None
        return self._bucket_starts_s[index]

    def count_between(self, from_s: int, until_s: int) -> tally.Tally:
        """Counts the answers of the buckets that start in a period.

        Args:
            from_s: Start of the period, Unix seconds.
            until_s: End of the period, exclusive, Unix seconds.
        """
        self._sort()
        first = bisect.bisect_left(self._bucket_starts_s, from_s)
        end = max(first, bisect.bisect_left(self._bucket_starts_s, until_s))
        return tally.Tally(
            self._good_sums[end] - self._good_sums[first],
            self._total_sums[end] - self._total_sums[first],
        )

    def _sort(self) -> None:
        if self._is_sorted:
            return
        starts_s = sorted(self._buckets)
        self._bucket_starts_s = array.array("q", starts_s)
        self._good_sums = _prefix_sums(self._buckets[s][0] for s in starts_s)
        self._total_sums = _prefix_sums(self._buckets[s][1] for s in starts_s)
        self._is_sorted = True


def _prefix_sums(values: Iterable[int]) -> "array.array[int]":
    return array.array("q", itertools.accumulate(values, initial=0))
