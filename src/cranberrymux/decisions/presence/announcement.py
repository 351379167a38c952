"""The content of one announcement of a backend server."""

import enum
from typing import NamedTuple

from cranberrymux.models import backend_process


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    SERVING = "serving"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """State that a backend server sends at regular intervals.

    Attributes:
        backend_id: Id of the backend server; a restarted one may reuse it
            with a later start time.
        started_ms: Start time of its process in Unix milliseconds.
        sequence: Number of this announcement, counted since its start.
        service: Name of the service that it offers.
        address: `ip:port` on which it accepts requests.
        zone: Its availability zone.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        cold_left_s: Remaining time in which it is slow after a cold start.
    """

    backend_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    slots: int
    state: BackendState
    cold_left_s: float

    @property
    def process(self) -> backend_process.BackendProcess:
        """The process that sent it."""
        return backend_process.BackendProcess(self.backend_id, self.started_ms)
