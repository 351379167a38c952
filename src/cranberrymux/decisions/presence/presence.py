"""Tracks the backend server beside a node by its announcements."""

import enum
import math

from cranberrymux.decisions.presence import announcement
from cranberrymux.models import backend_process

_DRAINING = announcement.BackendState.DRAINING
_SERVING = announcement.BackendState.SERVING
# Departed backend servers whose late announcements are recognized as stale.
_MAXIMUM_DEPARTURES = 64


class PresenceChange(enum.Enum):
    """Effect of an announcement or a departure.

    Attributes:
        NONE: The backend server and its state are as before.
        STALE: The announcement is older than what is known and was ignored.
        ARRIVED: The announcement is the first of a process that accepts
            requests.
        DRAINING: The backend server no longer accepts new requests.
        LEFT: The current backend server has left.
    """

    NONE = "none"
    STALE = "stale"
    ARRIVED = "arrived"
    DRAINING = "draining"
    LEFT = "left"


class Presence:
    """The newest announcement, ordered by start time and sequence.

    A backend server that drains or has left accepts no requests again; only
    one with a later start time replaces it.

    Attributes:
        current: The newest announcement; None before the first one.
        process: The process that it is of.
        encoded_id: The id of that backend server, as headers have it.
        serving_until_s: Monotonic seconds until which it accepts requests, as
            far as it is known; -inf if it accepts none.
    """

    def __init__(self, lifetime_s: float) -> None:
        """Starts without a known backend server.

        Args:
            lifetime_s: Time for which an announcement is valid.
        """
        self._lifetime_s = lifetime_s
        self.current: announcement.Announcement | None = None
        self.process = backend_process.BackendProcess("", 0)
        self.encoded_id = b""
        self.serving_until_s = -math.inf
        self._departed_start_ms: dict[str, int] = {}

    def is_serving(self, now_s: float) -> bool:
        """True if it accepts requests and its announcement is still valid."""
        return now_s <= self.serving_until_s

    def announce(
        self, received: announcement.Announcement, now_s: float
    ) -> PresenceChange:
        """Applies an announcement unless it is stale."""
        current = self.current
        is_old = current is not None and _order(received) <= _order(current)
        if is_old or received.started_ms <= self._departed_start_ms.get(
            received.backend_id, -1
        ):
            return PresenceChange.STALE
        self.serving_until_s = -math.inf
        if received.state is _SERVING:
            self.serving_until_s = now_s + self._lifetime_s
        process = received.process
        if current is None or self.process != process:
            self.current = received
            self.process = process
            self.encoded_id = process.backend_id.encode()
            if received.state is _DRAINING:
                return PresenceChange.DRAINING
            return PresenceChange.ARRIVED
        if current.state is _DRAINING:
            # A process that drains never serves again.
            received = received._replace(state=_DRAINING)
            self.serving_until_s = -math.inf
        self.current = received
        if current.state is received.state:
            return PresenceChange.NONE
        return PresenceChange.DRAINING

    def leave(self, backend_id: str, now_ms: int) -> PresenceChange:
        """Records the departure of a backend server.

        Args:
            backend_id: Id of the backend server.
            now_ms: Unix milliseconds. If the backend server is not the
                current one, announcements of its processes that started up to
                this time are stale.
        """
        current = self.current
        if current is None or current.backend_id != backend_id:
            self._record_departure(backend_id, now_ms)
            return PresenceChange.NONE
        # Without a start time, any process up to now may be the one that left.
        self._record_departure(backend_id, current.started_ms or now_ms)
        self.current = current._replace(state=_DRAINING)
        self.serving_until_s = -math.inf
        return PresenceChange.LEFT

    def _record_departure(self, backend_id: str, last_start_ms: int) -> None:
        self._departed_start_ms[backend_id] = last_start_ms
        while len(self._departed_start_ms) > _MAXIMUM_DEPARTURES:
            del self._departed_start_ms[next(iter(self._departed_start_ms))]


def _order(received: announcement.Announcement) -> tuple[int, int]:
    return received.started_ms, received.sequence
