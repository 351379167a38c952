"""Deaths counted for one key of a fingerprint."""

from typing import NamedTuple


class DeathRecord(NamedTuple):
    """Deaths of backend servers while calls with one key were in flight.

    Attributes:
        deaths: Backend servers that died with the key in flight.
        cleared: Number of those deaths cleared by runs to the end.
        was_sole: True if the key was the only suspect in flight at one of the
            deaths since it was last cleared.
        changed_s: Monotonic seconds of the last change.
        digests: Digests in flight under a request id at its deaths that have
            not run to their end since. Empty in the record of a digest, and
            in a record made from reports of other nodes, which only age
            clears.
    """

    deaths: int
    cleared: int
    was_sole: bool
    changed_s: float
    digests: frozenset[str] = frozenset()

    @property
    def open_deaths(self) -> int:
        """Deaths that are not cleared and still count."""
        return self.deaths - self.cleared


EMPTY = DeathRecord(0, 0, False, 0.0)
