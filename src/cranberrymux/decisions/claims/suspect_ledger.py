"""Deaths of backend servers by the requests that were in flight."""

from typing import Any

RETENTION_MS = 3_600_000
MAXIMUM_FINGERPRINTS = 10_000


class SuspectLedger:
    """Counts each death once for each fingerprint.

    A fingerprint is forgotten `RETENTION_MS` after its last death, or when
    `MAXIMUM_FINGERPRINTS` newer ones are known.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._deaths: dict[str, set[str]] = {}
        self._last_ms: dict[str, int] = {}

    def count(self, fingerprint: str) -> int:
        """Returns the deaths that a request was in flight at."""
        return len(self._deaths.get(fingerprint, ()))

    def report(self, fingerprint: str, death: str, now_ms: int) -> int:
        """Applies a committed report.

        Args:
            fingerprint: What the resends of a request have in common.
            death: Names one death of one backend server.
            now_ms: Unix milliseconds, never going back.

        Returns:
            The deaths known for the fingerprint.
        """
        self._forget(now_ms)
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
        """Takes over a state that `dump` gave."""
        self._deaths = {one[0]: set(one[2]) for one in state}
        self._last_ms = {one[0]: one[1] for one in state}

    def _forget(self, now_ms: int) -> None:
        while self._deaths:
            oldest = next(iter(self._deaths))
            is_old = self._last_ms[oldest] < now_ms - RETENTION_MS
            if not is_old and len(self._deaths) < MAXIMUM_FINGERPRINTS:
                return
            del self._deaths[oldest]
            del self._last_ms[oldest]
