"""Tracks the backend server beside a node by its announcements."""

import enum
import math
from typing import Any

from cranberrymux.decisions.presence import announcement
from cranberrymux.models import backend_process

_DRAINING = announcement.BackendState.DRAINING
_SERVING = announcement.BackendState.SERVING
# Backend servers whose late announcements are recognized as stale.
_MAXIMUM_KEPT_PROCESSES = 64


class PresenceChange(enum.Enum):
    """Effect of an announcement or a departure.

    Attributes:
        NONE: The backend server and its state are as before.
        STALE: The announcement is older than what is known and was ignored.
        FOREIGN: The announcement is of another backend server than the one
            beside the node, and was ignored.
        ARRIVED: The announcement is the first of a process that accepts
            requests.
        DRAINING: The backend server no longer accepts new requests.
        LEFT: The current backend server has left.
    """

    NONE = "none"
    STALE = "stale"
    FOREIGN = "foreign"
    ARRIVED = "arrived"
    DRAINING = "draining"
    LEFT = "left"


class Presence:
    """The newest announcement, ordered by start time and sequence.

    A process that drains or has left accepts no requests again, whatever the
    sequence of an announcement that says otherwise; only another process
    replaces it. Where start times do not tell which of two processes is newer,
    or the newer one has fallen silent, it is the one whose announcements
    advance.

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
        self._last_sequences: dict[backend_process.BackendProcess, int] = {}

    def is_serving(self, now_s: float) -> bool:
        """True if it accepts requests and its announcement is still valid."""
        return now_s <= self.serving_until_s

    def announce(
        self, received: announcement.Announcement, now_s: float
    ) -> PresenceChange:
        """Applies an announcement unless it is stale."""
        is_advancing = self._note_sequence(received)
        if received.started_ms <= self._departed_start_ms.get(
            received.backend_id, -1
        ):
            return PresenceChange.STALE
        if self.current is None or self.process != received.process:
            return self._announce_other(received, is_advancing, now_s)
        return self._announce_same(received, is_advancing, now_s)

    def _announce_other(
        self,
        received: announcement.Announcement,
        is_advancing: bool,
        now_s: float,
    ) -> PresenceChange:
        """Applies an announcement of another process than the current one."""
        is_draining = received.state is _DRAINING
        if not self._is_newer(received, is_advancing, now_s):
            if is_draining:
                self._record_departure(received.backend_id, received.started_ms)
            return PresenceChange.STALE
        if self.current is not None and self.current.state is _DRAINING:
            self._record_departure(*self.process)
        self.current = received
        self.process = received.process
        self.encoded_id = received.backend_id.encode()
        self._set_serving(now_s)
        if is_draining:
            return PresenceChange.DRAINING
        return PresenceChange.ARRIVED

    def _is_newer(
        self,
        received: announcement.Announcement,
        is_advancing: bool,
        now_s: float,
    ) -> bool:
        """True if a process replaces the current one."""
        current = self.current
        if current is None or received.started_ms > current.started_ms:
            return True
        if not is_advancing or received.state is not _SERVING:
            return False
        if received.started_ms == current.started_ms:
            return True  # Only the ids differ.
        # The current one was of another writer, or has ended.
        return current.state is _SERVING and not self.is_serving(now_s)

    def _announce_same(
        self,
        received: announcement.Announcement,
        is_advancing: bool,
        now_s: float,
    ) -> PresenceChange:
        """Applies an announcement of the current process."""
        assert self.current is not None
        was_draining = self.current.state is _DRAINING
        starts_to_drain = received.state is _DRAINING and not was_draining
        if not (is_advancing or starts_to_drain):
            return PresenceChange.STALE
        if was_draining:
            received = received._replace(state=_DRAINING)
        self.current = received
        self._set_serving(now_s)
        if starts_to_drain:
            return PresenceChange.DRAINING
        return PresenceChange.NONE

    def _set_serving(self, now_s: float) -> None:
        """Sets how long the current process serves by its announcement."""
        self.serving_until_s = -math.inf
        if self.current is not None and self.current.state is _SERVING:
            self.serving_until_s = now_s + self._lifetime_s

    def _note_sequence(self, received: announcement.Announcement) -> bool:
        """Returns whether a process's announcement follows its last one.

        It is compared with the last one received, not with the highest: one of
        another writer may have a sequence that its own never reach.
        """
        process = received.process
        last_sequence = self._last_sequences.pop(process, -1)
        self._last_sequences[process] = received.sequence
        _remove_oldest(self._last_sequences)
        return received.sequence > last_sequence

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
        known_ms = self._departed_start_ms.pop(backend_id, -1)
        self._departed_start_ms[backend_id] = max(known_ms, last_start_ms)
        _remove_oldest(self._departed_start_ms)


def _remove_oldest(kept: dict[Any, int]) -> None:
    while len(kept) > _MAXIMUM_KEPT_PROCESSES:
        del kept[next(iter(kept))]
