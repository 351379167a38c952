"""Drops log lines that repeat too often."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import types
from typing import Any

import structlog

LINES_PER_WINDOW = 10
WINDOW_S = 10.0
SERIES_MAX = 1000

_Key = tuple[str, str, str]


class _Window:
    """Lines of one series since its window began."""

    def __init__(self, begin_s: float) -> None:
        self.begin_s = begin_s
        self.lines = 0
        self.dropped = 0


class RepeatLimiter:
    """Lets a few lines of one event, level and reason pass in each window.

    The first line after a window in which lines were dropped tells their
    number as `repeats_dropped`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_window: int = LINES_PER_WINDOW,
        window_s: float = WINDOW_S,
        lines_of_event: Mapping[str, int] = types.MappingProxyType({}),
    ) -> None:
        """Starts with no series.

        Args:
            clock: Monotonic seconds.
            lines_per_window: Lines of one series that pass in a window.
            window_s: Length of a window in seconds.
            lines_of_event: Other numbers of lines, by event.
        """
        self._lines_of_event = lines_of_event
        self._clock = clock
        self._lines_per_window = lines_per_window
        self._window_s = window_s
        self._windows: collections.OrderedDict[_Key, _Window] = (
            collections.OrderedDict()
        )

    def __call__(
        self, _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Passes or drops a line; a structlog processor.

        Raises:
            structlog.DropEvent: The line is one too many.
        """
        key = (
            str(event.get("event")),
            str(event.get("level")),
            str(event.get("reason")),
        )
        now_s = self._clock()
        window = self._windows.get(key)
        if window is None:
            window = self._open(key, now_s)
        elif now_s - window.begin_s >= self._window_s:
            dropped = window.dropped
            window = self._open(key, now_s)
            if dropped:
                event["repeats_dropped"] = dropped
        limit = self._lines_of_event.get(key[0], self._lines_per_window)
        if window.lines >= limit:
            window.dropped += 1
            raise structlog.DropEvent
        window.lines += 1
        return event

    def _open(self, key: _Key, now_s: float) -> _Window:
        window = _Window(now_s)
        self._windows[key] = window
        self._windows.move_to_end(key)
        if len(self._windows) > SERIES_MAX:
            self._windows.popitem(last=False)
        return window
