"""Histogram of durations to which adding one costs little."""

import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import time

from prometheus_client import metrics_core
from prometheus_client import registry
from prometheus_client import utils


class DurationHistogram(registry.Collector):
    """Counts durations by the value of one label.

    Unlike a histogram of the library, it takes no locks: it is for one thread.
    """

    def __init__(
        self, name: str, help_text: str, label: str, bounds_s: Sequence[float]
    ) -> None:
        """Starts without durations.

        Args:
            name: Name of the metric.
            help_text: Its description.
            label: Name of its label.
            bounds_s: Upper bounds of the buckets, ascending, in seconds.
        """
        self._name = name
        self._help_text = help_text
        self._label = label
        self._bounds_s = bounds_s
        self._counts: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}
        self._created_unix_s: dict[str, float] = {}

    def observe(self, value: str, duration_s: float) -> None:
        """Adds a duration under a value of the label."""
        if value not in self._counts:
            self._counts[value] = [0] * (len(self._bounds_s) + 1)
            self._sums_s[value] = 0.0
            self._created_unix_s[value] = time.time()
        index = bisect.bisect_left(self._bounds_s, duration_s)
        self._counts[value][index] += 1
        self._sums_s[value] += duration_s

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns the metric with all durations so far."""
        name = self._name
        family = metrics_core.HistogramMetricFamily(
            name, self._help_text, labels=(self._label,)
        )
        bounds = [*map(utils.floatToGoString, self._bounds_s), "+Inf"]
        for value, counts in self._counts.items():
            totals = itertools.accumulate(counts)
            buckets = list(zip(bounds, totals, strict=True))
            family.add_metric((value,), buckets, self._sums_s[value])
            family.add_sample(
                f"{name}_created",
                {self._label: value},
                self._created_unix_s[value],
            )
        yield family
