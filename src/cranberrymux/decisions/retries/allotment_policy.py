"""Interface for splitting a retry budget among child calls."""

from typing import Protocol


class AllotmentPolicy(Protocol):
    """Decides the share of a retry budget that each child call gets."""

    def share(self, remaining: int) -> int:
        """Returns the share of the next child call.

        Args:
            remaining: Unspent retries of the parent call, 0 or more.

        Returns:
            Retries for the child call, from 0 to `remaining`.
        """
