"""What is held against one key."""

from typing import NamedTuple


class Record(NamedTuple):
    """The deaths of one key.

    Attributes:
        deaths: Backend servers that died with it in flight.
        cleared: How many of those deaths a clean run has cleared.
        was_sole: True if it was the only suspect on one of them since it was
            cleared.
        changed_s: Monotonic seconds of the last change.
        digests: Digests in flight under a request id when it became suspect;
            empty for a digest's own record and for a merged one, which then
            only age clears.
    """

    deaths: int
    cleared: int
    was_sole: bool
    changed_s: float
    digests: frozenset[str] = frozenset()

    @property
    def open_deaths(self) -> int:
        """Deaths that no clean run has cleared."""
        return self.deaths - self.cleared


NONE = Record(0, 0, False, 0.0)
