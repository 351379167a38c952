"""Clocks that also count while the instance is suspended."""

import time

_NS_PER_MS = 1_000_000


class BootClock:
    """Steady time that also counts while the instance is suspended."""

    def now_s(self) -> float:
        """Returns steady seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // _NS_PER_MS
