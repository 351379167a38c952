"""A histogram of durations that is one search for each of them."""

import bisect
import time

from prometheus_client import utils

from cranberrymux.gateway import event_counter

BOUNDS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0,
)  # fmt: skip
_LABELS = tuple(utils.floatToGoString(s) for s in (*BOUNDS_S, float("inf")))


class EventHistogram:
    """Durations by the smallest bound that they do not exceed."""

    __slots__ = ("_counts", "_created_unix_s", "_sum_s")

    def __init__(self) -> None:
        """Starts without durations."""
        self._counts = [0] * len(_LABELS)
        self._sum_s = 0.0
        self._created_unix_s = time.time()

    def observe(self, duration_s: float) -> None:
        """Adds a duration in seconds."""
        self._counts[bisect.bisect_left(BOUNDS_S, duration_s)] += 1
        self._sum_s += duration_s

    def make_samples(self) -> list[event_counter.Sample]:
        """Returns suffix of the name, further labels and value of each."""
        samples: list[event_counter.Sample] = []
        count = 0.0
        for bound, added in zip(_LABELS, self._counts, strict=True):
            count += added
            samples.append(("_bucket", {"le": bound}, count))
        return [
            *samples,
            ("_count", {}, count),
            ("_sum", {}, self._sum_s),
            ("_created", {}, self._created_unix_s),
        ]
