"""How much of a budget a child call is given."""

from typing import Protocol


class AllotmentPolicy(Protocol):
    """Splits what remains of a call's budget."""

    def share(self, remaining: int) -> int:
        """Returns the share of the next child call.

        Args:
            remaining: What is left, 0 or more.

        Returns:
            From 0 to `remaining`.
        """
