"""Outcome of one random schedule of faults."""

from collections.abc import Mapping
from typing import NamedTuple


class Result(NamedTuple):
    """Counts and the violation, if any, of one schedule.

    Attributes:
        seed: Seed of the schedule.
        states: Number of cluster states that were checked.
        accepted: Number of committed entries.
        event_counts: Number of events by name.
        was_progress_checked: True if the cluster had to make progress after
            the faults.
        violation: Violated guarantee; empty for none.
    """

    seed: int
    states: int
    accepted: int
    event_counts: Mapping[str, int]
    was_progress_checked: bool
    violation: str
