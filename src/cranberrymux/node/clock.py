"""Monotonic and Unix time, and their system clocks."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and Unix time."""

    def now_s(self) -> float:
        """Returns monotonic seconds."""

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""


class SystemClock:
    """Clocks of the operating system."""

    def now_s(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // 1_000_000
