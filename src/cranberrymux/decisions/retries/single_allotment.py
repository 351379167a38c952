"""One retry to each child call."""


class SingleAllotment:
    """Gives one retry while there is one."""

    def share(self, remaining: int) -> int:
        """Returns the share of the next child call."""
        return min(remaining, 1)
