"""The outcome of one schedule."""

from collections.abc import Mapping
from typing import NamedTuple


class Result(NamedTuple):
    """What one schedule showed.

    Attributes:
        seed: The schedule's seed.
        states: States that were checked.
        accepted: Entries that were accepted.
        seen: Counts of what happened.
        was_calmed: True if progress after the faults was checked too.
        violation: What was broken; empty for nothing.
    """

    seed: int
    states: int
    accepted: int
    seen: Mapping[str, int]
    was_calmed: bool
    violation: str
