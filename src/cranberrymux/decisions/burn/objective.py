"""A service-level objective."""

from typing import NamedTuple

ANY = "*"


class Objective(NamedTuple):
    """The share of good answers that one class of calls is owed.

    Attributes:
        service: Name of the service, or `*` for all together.
        class_name: Class of the calls, or `*` for all together.
        target_share: Least share of good answers, above 0 and below 1.
        window_s: Length of the window that the share is taken over, seconds.
        latency_ms: Longest time of a good answer; None for no limit.
    """

    service: str
    class_name: str
    target_share: float
    window_s: int
    latency_ms: float | None = None

    def covers(self, service: str, class_name: str) -> bool:
        """True if calls of this service and class count."""
        return self.service in (ANY, service) and self.class_name in (
            ANY,
            class_name,
        )
