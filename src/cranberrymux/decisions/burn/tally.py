"""Good answers out of all."""

from typing import NamedTuple


class Tally(NamedTuple):
    """Answers within some time.

    Attributes:
        good: Good answers.
        total: All answers.
    """

    good: int
    total: int

    @property
    def bad(self) -> int:
        """Answers that use the budget."""
        return self.total - self.good
