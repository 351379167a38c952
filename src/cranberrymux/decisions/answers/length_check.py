"""Compares the length of an answer with its announced length."""


class LengthCheck:
    """Counts the body bytes of one answer, held or streamed."""

    __slots__ = ("_announced_bytes", "_received_bytes")

    def __init__(self, announced_bytes: int | None) -> None:
        """Starts with no bytes received.

        Args:
            announced_bytes: Value of `Content-Length`; None for a chunked body.
        """
        self._announced_bytes = announced_bytes
        self._received_bytes = 0

    def receive(self, count: int) -> bool:
        """Adds received bytes; returns False if they exceed the length."""
        self._received_bytes += count
        return (
            self._announced_bytes is None
            or self._received_bytes <= self._announced_bytes
        )

    def is_whole(self, message_complete: bool) -> bool:
        """True if the answer was received completely.

        Args:
            message_complete: True if the parser reached the end of the
                message; a closed connection does not count as the end.
        """
        if self._announced_bytes is None:
            return message_complete
        return (
            message_complete and self._received_bytes == self._announced_bytes
        )
