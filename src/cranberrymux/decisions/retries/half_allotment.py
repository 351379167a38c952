"""Half of what remains to each child call."""


class HalfAllotment:
    """Gives half of what remains, rounded up."""

    def share(self, remaining: int) -> int:
        """Returns the share of the next child call."""
        return (remaining + 1) // 2
