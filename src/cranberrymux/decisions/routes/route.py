"""One route: which requests go to which services, and on what terms."""

import enum
from typing import NamedTuple


class Repeatability(enum.Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Target(NamedTuple):
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other targets of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests with one host and path prefix go.

    Attributes:
        name: The operator's name of the route.
        host: Value of the `Host` header.
        prefix: Beginning of the path; starts and ends with a slash.
        targets: Services that share the requests.
        repeatability: Whether a request may run more than once.
        attempts: Greatest count of endpoints for one request.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer has its full worth.
        priority: Rank; 0 is the most important.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeatability: Repeatability
    attempts: int
    timeout_s: float
    objective_s: float
    priority: int

    @property
    def is_idempotent(self) -> bool:
        """True if a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT
