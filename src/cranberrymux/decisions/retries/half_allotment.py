"""Allotment policy that halves the remaining budget."""


class HalfAllotment:
    """Gives each child call half of what remains, rounded up."""

    def share(self, remaining: int) -> int:
        """Returns half of the remaining retries, rounded up."""
        return (remaining + 1) // 2
