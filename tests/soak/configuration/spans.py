"""Time spans in which processes and links were disturbed."""

import contextlib
import math
import threading
import time
from typing import NamedTuple

STABILITY_WINDOW_S = 3.0


class Span(NamedTuple):
    """A disturbance.

    Attributes:
        target: Name of what was disturbed.
        begin_s: Its begin, monotonic seconds.
        end_s: Its end; infinite while it lasts.
    """

    target: str
    begin_s: float
    end_s: float


class Spans:
    """The disturbances of one run."""

    def __init__(self):
        self._lock = threading.Lock()
        self._ended = []
        self._open = {}

    @contextlib.contextmanager
    def disturb(self, *targets):
        """Records a disturbance that lasts as long as the context."""
        key = object()
        begin_s = time.monotonic()
        with self._lock:
            self._open[key] = [
                Span(target, begin_s, math.inf) for target in targets
            ]
        try:
            yield
        finally:
            end_s = time.monotonic()
            with self._lock:
                self._ended += [
                    span._replace(end_s=end_s) for span in self._open.pop(key)
                ]

    def add(self, span):
        """Records a disturbance that has ended."""
        with self._lock:
            self._ended.append(span)

    def find_targets(self, from_s, until_s):
        """Returns the names of what was disturbed between two times."""
        return {
            span.target
            for span in self._list()
            if span.begin_s <= until_s and span.end_s >= from_s
        }

    def is_calm(self, targets, from_s, until_s):
        """True if none of the targets was disturbed between two times.

        A disturbance counts for `STABILITY_WINDOW_S` after its end.
        """
        disturbed = self.find_targets(from_s - STABILITY_WINDOW_S, until_s)
        return disturbed.isdisjoint(targets)

    def get_calm_since_s(self, targets):
        """Returns the end of the last disturbance; infinite while one lasts."""
        return max(
            (span.end_s for span in self._list() if span.target in targets),
            default=-math.inf,
        )

    def _list(self):
        with self._lock:
            lasting = [span for spans in self._open.values() for span in spans]
            return self._ended + lasting
