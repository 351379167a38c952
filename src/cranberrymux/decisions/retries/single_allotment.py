"""Allotment policy that gives one retry at a time."""


class SingleAllotment:
    """Gives each child call one retry while any remains."""

    def share(self, remaining: int) -> int:
        """Returns 1, or 0 if no retry remains."""
        return min(remaining, 1)
