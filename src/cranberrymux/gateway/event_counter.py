"""A counter that is one addition for each event."""

import time

Sample = tuple[str, dict[str, str], float]


class EventCounter:
    """Number of events, counted in one thread and so without a lock.

    Attributes:
        value: The number.
    """

    __slots__ = ("_created_unix_s", "value")

    def __init__(self) -> None:
        """Starts at zero."""
        self.value = 0.0
        self._created_unix_s = time.time()

    def inc(self, amount: float = 1.0) -> None:
        """Adds events."""
        self.value += amount

    def make_samples(self) -> list[Sample]:
        """Returns suffix of the name, further labels and value of each."""
        return [
            ("_total", {}, self.value),
            ("_created", {}, self._created_unix_s),
        ]
