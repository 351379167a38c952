"""Compares the length of an answer with what was announced."""


class LengthCheck:
    """Counts the body of one answer, also while it streams."""

    __slots__ = ("_announced", "_received")

    def __init__(self, announced_bytes: int | None) -> None:
        """Starts at nothing received.

        Args:
            announced_bytes: `Content-Length`; None for a chunked body.
        """
        self._announced = announced_bytes
        self._received = 0

    def receive(self, count: int) -> bool:
        """Counts bytes of the body; False if they are more than announced."""
        self._received += count
        return self._announced is None or self._received <= self._announced

    def is_whole(self, message_complete: bool) -> bool:
        """True if the answer came whole.

        Args:
            message_complete: True if the parser saw the end of the message;
                the end of the connection alone is none.
        """
        if self._announced is None:
            return message_complete
        return message_complete and self._received == self._announced
