"""One announcement of a backend server."""

import enum
from typing import NamedTuple


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """What a backend server tells of itself at regular intervals.

    Attributes:
        backend_id: Its id; the same id may come back with a later birth.
        born_ms: Unix milliseconds of its start.
        sequence: Count of its announcements since its start.
        service: Service that it offers.
        address: `ip:port` on which it takes requests.
        zone: Availability zone.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        cold_s: How much longer it stays slow after its start.
    """

    backend_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    slots: int
    state: BackendState
    cold_s: float
