"""A clock that is fixed at the time of a question."""

from typing import NamedTuple


class FixedClock(NamedTuple):
    """Implements `clock.Clock`.

    Attributes:
        at_s: Monotonic seconds.
        at_unix_ms: Unix time in milliseconds.
    """

    at_s: float
    at_unix_ms: int

    def now_s(self) -> float:
        """Returns monotonic seconds."""
        return self.at_s

    def now_unix_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return self.at_unix_ms
