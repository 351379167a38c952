"""A route: the requests it matches, its target services and its limits."""

import enum
from typing import NamedTuple


class Repeatability(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Target(NamedTuple):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share relative to the sum of the route's weights; at
            least 0.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Targets and limits of the requests with one host and path prefix.

    Attributes:
        name: Name that the operator gave the route.
        host: Value of the `Host` header.
        prefix: Path prefix; starts and ends with a slash.
        targets: Services that share the requests by weight.
        repeatability: Whether a request may run more than once.
        attempts: Maximum number of endpoints tried for one request, from 1.
        timeout_s: Maximum time that a caller waits for its answer.
        objective_s: Latency objective; an answer has its full value only
            within this time.
        priority: Priority rank; 0 is the most important.
        is_public: True if requests need no key of a client account.
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
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """True if a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT
