"""Report to the shared state that a suspect ran without a crash."""

from typing import NamedTuple


class ClearReport(NamedTuple):
    """A suspect ran to its end with no other suspect on its endpoint.

    Attributes:
        key: One of `Fingerprint.keys`.
        deaths: Number of deaths of the key, in the order of their reports,
            that no longer count.
    """

    key: str
    deaths: int
