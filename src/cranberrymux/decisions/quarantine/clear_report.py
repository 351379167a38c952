"""What the shared state is told of a clean run."""

from typing import NamedTuple


class ClearReport(NamedTuple):
    """A suspect ran clean, alone on its endpoint.

    Attributes:
        key: One of `Fingerprint.keys`.
        deaths: The first so many deaths of the key no longer count.
    """

    key: str
    deaths: int
