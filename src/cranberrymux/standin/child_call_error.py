"""The error of a child call without a usable answer."""


class ChildCallError(Exception):
    """A child call was refused, failed or lost.

    Attributes:
        service: Name of the service that was called.
        reason: Reason from the answer, or else `connection-lost`, `not-json` or
            `status-` with the status code.
        retry_after_s: Value of the header `Retry-After`, in seconds; empty
            without one.
        retry_after_ms: Value of the header `Cranberrymux-Retry-After-Ms`, in
            milliseconds; empty without one.
    """

    def __init__(
        self,
        service: str,
        reason: str,
        retry_after_s: str = "",
        retry_after_ms: str = "",
    ) -> None:
        """Stores the reason and the retry times; see the class."""
        super().__init__(f"{service}: {reason}")
        self.service = service
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.retry_after_ms = retry_after_ms
