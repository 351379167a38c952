"""Allotment policy that gives away the whole remaining budget."""


class WholeAllotment:
    """Gives each child call all that remains.

    Child calls that run at the same time as the first one get nothing.
    """

    def share(self, remaining: int) -> int:
        """Returns all the remaining retries."""
        return remaining
