"""Service-level objectives."""

from typing import NamedTuple

ANY = "*"  # Matches every service or every class.


class Objective(NamedTuple):
    """The minimum share of good answers to the calls of a service and class.

    Attributes:
        service: Name of the service; `*` counts all services together.
        class_name: Name of the request class; `*` counts all classes
            together.
        target_share: Minimum share of good answers, above 0 and below 1.
        window_s: Length in seconds of the sliding window over which the share
            is measured.
        latency_ms: Maximum latency of a good answer in milliseconds; None for
            no limit.
    """

    service: str
    class_name: str
    target_share: float
    window_s: int
    latency_ms: float | None = None

    def covers(self, service: str, class_name: str) -> bool:
        """True if calls of the service and class count."""
        return self.service in (ANY, service) and self.class_name in (
            ANY,
            class_name,
        )
