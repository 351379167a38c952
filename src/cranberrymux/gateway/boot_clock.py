"""The clocks of a gateway, which advance while its instance is suspended."""

import time

_NS_PER_MS = 1_000_000


class BootClock:
    """Monotonic time of `CLOCK_BOOTTIME`, and Unix time.

    `CLOCK_MONOTONIC` stands still while the instance is suspended.
    """

    def now_s(self) -> float:
        """Returns monotonic seconds since boot, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // _NS_PER_MS
