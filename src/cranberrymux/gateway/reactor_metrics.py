"""Prometheus metrics that only the reactor's thread changes."""

import bisect
from collections.abc import Sequence
from typing import Any

import prometheus_client


class Counter(prometheus_client.Counter):
    """A counter without the checks and the lock of each increment."""

    _value: Any

    def inc(
        self, amount: float = 1, exemplar: dict[str, str] | None = None
    ) -> None:
        """Adds an amount that is not negative; has no exemplars."""
        del exemplar
        self._value._value += amount


class Histogram(prometheus_client.Histogram):
    """A histogram without the checks and the locks of each observation."""

    _sum: Any
    _buckets: Any
    _upper_bounds: Sequence[float]

    def observe(
        self, amount: float, exemplar: dict[str, str] | None = None
    ) -> None:
        """Counts an amount, which is a number; has no exemplars."""
        del exemplar
        self._sum._value += amount
        index = bisect.bisect_left(self._upper_bounds, amount)
        self._buckets[index]._value += 1
