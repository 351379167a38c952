"""A child call that gave no usable answer."""


class ChildRefusedError(Exception):
    """A child call was refused, failed or lost.

    Attributes:
        service: Service that was called.
        reason: Reason that its node gave, or what was seen.
        retry_after_s: Value of `Retry-After`, seconds; empty if there was
            none.
        retry_after_ms: The same in milliseconds.
    """

    def __init__(
        self,
        service: str,
        reason: str,
        retry_after_s: str = "",
        retry_after_ms: str = "",
    ) -> None:
        """Keeps what the child's answer said."""
        super().__init__(f"{service}: {reason}")
        self.service = service
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.retry_after_ms = retry_after_ms
