"""Limits the number of similar log lines per time window."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import types
from typing import Any

import structlog

LINES_PER_WINDOW = 10
WINDOW_S = 10.0
MAXIMUM_SERIES = 1000

_SeriesKey = tuple[str, str, str]


class _Window:
    """Numbers of passed and dropped lines of a series in its current window."""

    def __init__(self, begin_s: float) -> None:
        self.begin_s = begin_s
        self.lines = 0
        self.dropped = 0


class RepeatLimiter:
    """Passes a limited number of lines per series and window.

    A series is the lines with the same event, level and reason. The first line
    after a window in which lines were dropped has their number in the field
    `repeats_dropped`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_window: int = LINES_PER_WINDOW,
        window_s: float = WINDOW_S,
        lines_per_window_by_event: Mapping[str, int] = types.MappingProxyType(
            {}
        ),
    ) -> None:
        """Starts without any series.

        Args:
            clock: Returns the time of a monotonic clock, in seconds.
            lines_per_window: Number of lines of a series that pass in a window.
            window_s: Length of a window, seconds.
            lines_per_window_by_event: Numbers that replace
                `lines_per_window`, by event.
        """
        self._lines_per_window_by_event = lines_per_window_by_event
        self._clock = clock
        self._lines_per_window = lines_per_window
        self._window_s = window_s
        self._windows: collections.OrderedDict[_SeriesKey, _Window] = (
            collections.OrderedDict()
        )

    def __call__(
        self, _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Passes or drops a line; a structlog processor.

        Raises:
            structlog.DropEvent: The window of the line's series is full.
        """
        key = (
            str(event.get("event")),
            str(event.get("level")),
            str(event.get("reason")),
        )
        now_s = self._clock()
        window = self._windows.get(key)
        if window is None:
            window = self._start_window(key, now_s)
        elif now_s - window.begin_s >= self._window_s:
            dropped = window.dropped
            window = self._start_window(key, now_s)
            if dropped:
                event["repeats_dropped"] = dropped
        limit = self._lines_per_window_by_event.get(
            key[0], self._lines_per_window
        )
        if window.lines >= limit:
            window.dropped += 1
            raise structlog.DropEvent
        window.lines += 1
        return event

    def _start_window(self, key: _SeriesKey, now_s: float) -> _Window:
        window = _Window(now_s)
        self._windows[key] = window
        self._windows.move_to_end(key)
        if len(self._windows) > MAXIMUM_SERIES:
            self._windows.popitem(last=False)
        return window
