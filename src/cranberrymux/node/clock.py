"""The two clocks of a node."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time."""

    def now_s(self) -> float:
        """Returns monotonic seconds."""

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""


class SystemClock:
    """The clocks of the instance."""

    def now_s(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // 1_000_000
