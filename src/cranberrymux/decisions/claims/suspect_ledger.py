"""Replicated sets of events that concern suspects, by name."""

from typing import Any

RETENTION_MS = 3_600_000
MAXIMUM_FINGERPRINTS = 10_000
MAXIMUM_EVENTS = 64  # Ids kept under one name.
MAXIMUM_READ = 2000  # Names that one read returns, those that changed last.


class SuspectLedger:
    """Keeps the distinct ids reported under each name.

    A name is the fingerprint of a call, whose ids are the deaths of backend
    servers, or one that its nodes derive from it. It is dropped `RETENTION_MS`
    after its last report, or when there are `MAXIMUM_FINGERPRINTS` others:
    those with a single id go first, as most calls are in flight at one death
    by chance.
    """

    def __init__(self) -> None:
        """Creates a ledger without reports."""
        self._events: dict[str, set[str]] = {}
        self._last_ms: dict[str, int] = {}
        self._revisions: dict[str, int] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number of changes in this process; it never decreases."""
        return self._revision

    def count(self, fingerprint: str) -> int:
        """Returns the number of ids known under a name."""
        return len(self._events.get(fingerprint, ()))

    def get(self, fingerprint: str) -> list[str]:
        """Returns the ids known under a name, in a fixed order."""
        return sorted(self._events.get(fingerprint, ()))

    def read(self, since: int) -> list[tuple[str, list[str]]]:
        """Returns names and ids that changed after a revision, oldest first.

        Args:
            since: A value of `revision`; 0 reads everything.
        """
        changed: list[tuple[str, list[str]]] = []
        for name in reversed(self._revisions):
            is_known = self._revisions[name] <= since
            if is_known or len(changed) >= MAXIMUM_READ:
                break
            changed.append((name, sorted(self._events[name])))
        return changed[::-1]

    def report(
        self,
        fingerprint: str,
        death: str,
        now_ms: int,
        maximum_ids: int = MAXIMUM_EVENTS,
    ) -> int:
        """Applies a committed report.

        Args:
            fingerprint: Name that is the same for all resends of a call.
            death: Id of the event, such as one death of one backend server; a
                repeated report of the same event is not counted again.
            now_ms: Unix milliseconds that never decrease.
            maximum_ids: Ids beyond which none is added under the name.

        Returns:
            Number of distinct ids known under the name.
        """
        self._evict(now_ms, fingerprint)
        events = self._events.pop(fingerprint, set())
        is_new = death not in events and len(events) < maximum_ids
        if is_new:
            events.add(death)
            self._revision += 1
            self._revisions.pop(fingerprint, None)
            self._revisions[fingerprint] = self._revision
        self._events[fingerprint] = events
        self._last_ms[fingerprint] = now_ms
        return len(events)

    def dump(self) -> list[list[Any]]:
        """Returns the whole state as values that JSON can hold."""
        return [
            [fingerprint, self._last_ms[fingerprint], sorted(events)]
            for fingerprint, events in self._events.items()
        ]

    def restore(self, state: list[list[Any]]) -> None:
        """Replaces the state by one returned by `dump`."""
        self._events = {row[0]: set(row[2]) for row in state}
        self._last_ms = {row[0]: row[1] for row in state}
        self._revisions = {}
        for fingerprint in self._events:
            self._revision += 1
            self._revisions[fingerprint] = self._revision

    def _evict(self, now_ms: int, reported: str) -> None:
        while self._events:
            oldest = next(iter(self._events))
            if self._last_ms[oldest] < now_ms - RETENTION_MS:
                self._drop(oldest)
                continue
            is_full = len(self._events) >= MAXIMUM_FINGERPRINTS
            if not is_full or reported in self._events:
                return
            self._drop(self._find_evictable())

    def _find_evictable(self) -> str:
        """Returns the oldest name with a single id, or else the oldest."""
        for fingerprint, events in self._events.items():
            if len(events) == 1:
                return fingerprint
        return next(iter(self._events))

    def _drop(self, fingerprint: str) -> None:
        del self._events[fingerprint]
        del self._last_ms[fingerprint]
        self._revisions.pop(fingerprint, None)
