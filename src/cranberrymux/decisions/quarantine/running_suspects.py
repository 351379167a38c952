"""The calls that are, or just were, in flight on one backend server."""

from typing import NamedTuple

from cranberrymux.decisions.quarantine import fingerprint as fingerprints

MAXIMUM_ABANDONED = 1024


class _Abandoned(NamedTuple):
    """A call that was cancelled and may still crash the backend server."""

    ended_s: float
    fingerprint: fingerprints.Fingerprint


class RunningSuspects:
    """Fingerprints of the calls in flight, by ticket id.

    A call that was cancelled stays for a while: the backend server may still
    be at work on it.
    """

    def __init__(self) -> None:
        """Starts without calls."""
        self._running: dict[str, fingerprints.Fingerprint] = {}
        self._suspect_ids: set[str] = set()
        self._abandoned: list[_Abandoned] = []

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprints.Fingerprint,
        *,
        is_suspect: bool,
    ) -> None:
        """Adds a call that is handed over to the backend server."""
        self._running[ticket_id] = fingerprint
        if is_suspect:
            self._suspect_ids.add(ticket_id)

    def end(self, ticket_id: str) -> fingerprints.Fingerprint | None:
        """Removes a call and returns its fingerprint; None if it is unknown."""
        if self._suspect_ids:
            self._suspect_ids.discard(ticket_id)
        return self._running.pop(ticket_id, None)

    def abandon(self, now_s: float, ticket_id: str) -> None:
        """Removes a call that was cancelled, at which work may go on."""
        fingerprint = self.end(ticket_id)
        if fingerprint is not None:
            self._abandoned.append(_Abandoned(now_s, fingerprint))
            del self._abandoned[:-MAXIMUM_ABANDONED]

    def has_abandoned(self, since_s: float) -> bool:
        """True if a call was cancelled at or after a time."""
        return bool(self._abandoned) and self._abandoned[-1].ended_s >= since_s

    def find_suspects(self) -> set[fingerprints.Fingerprint]:
        """Returns the calls in flight that were suspects at their start."""
        return {self._running[suspect_id] for suspect_id in self._suspect_ids}

    def take_all(self, since_s: float) -> list[fingerprints.Fingerprint]:
        """Removes and returns all calls, each fingerprint once, in order.

        Args:
            since_s: Monotonic seconds from which those that were cancelled
                count.
        """
        abandoned = [
            run.fingerprint for run in self._abandoned if run.ended_s >= since_s
        ]
        found = sorted({*self._running.values(), *abandoned})
        self._running.clear()
        self._suspect_ids.clear()
        self._abandoned.clear()
        return found
