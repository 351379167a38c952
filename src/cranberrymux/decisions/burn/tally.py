"""Counts of good and bad answers."""

from typing import NamedTuple


class Tally(NamedTuple):
    """The number of good and of all answers in a period.

    Attributes:
        good: Number of good answers.
        total: Number of all answers.
    """

    good: int
    total: int

    @property
    def bad(self) -> int:
        """Number of answers that spend the error budget."""
        return self.total - self.good
