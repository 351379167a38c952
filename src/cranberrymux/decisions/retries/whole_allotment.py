"""All that remains to each child call in turn."""


class WholeAllotment:
    """Gives all; children that run beside the first get nothing."""

    def share(self, remaining: int) -> int:
        """Returns the share of the next child call."""
        return remaining
