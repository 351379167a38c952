"""What a node believes of the backend server beside it."""

import enum

from cranberrymux.decisions.presence import announcement

_DRAINING = announcement.BackendState.DRAINING
# Births of backend servers that have left; late news of them is dropped.
_LEFT_KEPT = 64


class PresenceChange(enum.Enum):
    """What an announcement changed."""

    NONE = "none"
    STALE = "stale"
    ARRIVED = "arrived"
    DRAINING = "draining"
    LEFT = "left"


class Presence:
    """The newest announcement, ordered by birth and sequence.

    A backend server that said that it leaves stays out until one that was
    born later announces itself.
    """

    def __init__(self, lifetime_s: float) -> None:
        """Starts with no backend server.

        Args:
            lifetime_s: How long an announcement counts.
        """
        self._lifetime_s = lifetime_s
        self._current: announcement.Announcement | None = None
        self._heard_s = 0.0
        self._left: dict[str, int] = {}

    @property
    def current(self) -> announcement.Announcement | None:
        """The newest announcement; None if there is no backend server."""
        return self._current

    def is_serving(self, now_s: float) -> bool:
        """True if the backend server takes new work."""
        current = self._current
        return (
            current is not None
            and current.state is announcement.BackendState.SERVING
            and now_s - self._heard_s <= self._lifetime_s
        )

    def announce(
        self, said: announcement.Announcement, now_s: float
    ) -> PresenceChange:
        """Takes an announcement."""
        current = self._current
        is_old = current is not None and _order(said) <= _order(current)
        if is_old or said.born_ms <= self._left.get(said.backend_id, -1):
            return PresenceChange.STALE
        self._heard_s = now_s
        if current is None or not _is_same_life(current, said):
            self._current = said
            if said.state is _DRAINING:
                return PresenceChange.DRAINING
            return PresenceChange.ARRIVED
        if current.state is _DRAINING:
            # Once it leaves, it does not come back.
            said = said._replace(state=_DRAINING)
        self._current = said
        if current.state is said.state:
            return PresenceChange.NONE
        return PresenceChange.DRAINING

    def leave(self, backend_id: str, now_ms: int) -> PresenceChange:
        """Takes note that a backend server goes.

        Args:
            backend_id: Its id.
            now_ms: Unix milliseconds; no life of an unknown backend server
                that began before is believed any more.
        """
        current = self._current
        if current is None or current.backend_id != backend_id:
            self._remember_left(backend_id, now_ms)
            return PresenceChange.NONE
        self._remember_left(backend_id, current.born_ms)
        self._current = current._replace(state=_DRAINING)
        return PresenceChange.LEFT

    def _remember_left(self, backend_id: str, born_ms: int) -> None:
        self._left[backend_id] = born_ms
        while len(self._left) > _LEFT_KEPT:
            del self._left[next(iter(self._left))]


def _is_same_life(
    one: announcement.Announcement, other: announcement.Announcement
) -> bool:
    return (one.backend_id, one.born_ms) == (other.backend_id, other.born_ms)


def _order(said: announcement.Announcement) -> tuple[int, int]:
    return said.born_ms, said.sequence
