"""Replicated counts of backend server deaths for each fingerprint."""

from typing import Any

RETENTION_MS = 3_600_000
MAXIMUM_FINGERPRINTS = 10_000


class SuspectLedger:
    """Counts the distinct deaths reported for each fingerprint.

    A fingerprint is dropped `RETENTION_MS` after its last report, or when
    `MAXIMUM_FINGERPRINTS` others have been reported since.
    """

    def __init__(self) -> None:
        """Creates a ledger without reports."""
        self._deaths: dict[str, set[str]] = {}
        self._last_ms: dict[str, int] = {}

    def count(self, fingerprint: str) -> int:
        """Returns the number of deaths known for a fingerprint."""
        return len(self._deaths.get(fingerprint, ()))

    def report(self, fingerprint: str, death: str, now_ms: int) -> int:
        """Applies a committed report.

        Args:
            fingerprint: Key that is the same for all resends of a call.
            death: Id of one death of one backend server; a repeated report of
                the same death is not counted again.
            now_ms: Unix milliseconds that never decrease.

        Returns:
            Number of distinct deaths known for the fingerprint.
        """
        self._evict(now_ms)
        deaths = self._deaths.pop(fingerprint, set())
        deaths.add(death)
        self._deaths[fingerprint] = deaths
        self._last_ms[fingerprint] = now_ms
        return len(deaths)

    def dump(self) -> list[list[Any]]:
        """Returns the whole state as values that JSON can hold."""
        return [
            [fingerprint, self._last_ms[fingerprint], sorted(deaths)]
            for fingerprint, deaths in self._deaths.items()
        ]

    def restore(self, state: list[list[Any]]) -> None:
        """Replaces the state by one returned by `dump`."""
        self._deaths = {one[0]: set(one[2]) for one in state}
        self._last_ms = {one[0]: one[1] for one in state}

    def _evict(self, now_ms: int) -> None:
        while self._deaths:
            oldest = next(iter(self._deaths))
            is_expired = self._last_ms[oldest] < now_ms - RETENTION_MS
            if not is_expired and len(self._deaths) < MAXIMUM_FINGERPRINTS:
                return
            del self._deaths[oldest]
            del self._last_ms[oldest]
