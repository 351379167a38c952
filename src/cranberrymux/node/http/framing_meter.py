"""Bounds the bytes of a message that are not its body.

Guards against a sender that writes a head, a line of a chunk or trailers
without end: the parser holds them, or reads them for nothing, until the
deadline of the request.
"""

# Bytes of framing that may come with a byte of body: a sender may write
# chunks of single bytes.
FRAMING_PER_BODY_BYTE = 8


class FramingMeter:
    """Counts what is read of one message, and what of it is body.

    Attributes:
        has_ended: True if the present read holds the end of a message. How
            much of it belongs to the next message is not known, so that it is
            not to be counted.
    """

    def __init__(self, framing_bytes: int) -> None:
        """Starts without bytes.

        Args:
            framing_bytes: Bytes that may be read without any of the body.
        """
        self._limit = framing_bytes
        self._framing_bytes = 0
        self._silent_bytes = 0
        self._body_bytes = 0
        self._new_body_bytes = 0
        self.has_ended = False

    def set_limit(self, framing_bytes: int) -> None:
        """Sets the bytes that may be read without any of the body."""
        self._limit = framing_bytes

    def begin(self) -> None:
        """Starts to count the next message."""
        self._framing_bytes = 0
        self._silent_bytes = 0
        self._body_bytes = 0
        self._new_body_bytes = 0

    def end(self) -> None:
        """Notes that the present read holds the end of a message."""
        self._framing_bytes = 0
        self._silent_bytes = 0
        self._body_bytes = 0
        self._new_body_bytes = 0
        self.has_ended = True

    def note_body(self, size: int) -> None:
        """Counts bytes of the body that the present read has brought."""
        self._new_body_bytes += size

    def note_read(self, size: int) -> bool:
        """Counts a read, after `note_body` for its part of the body.

        Returns:
            True if more was read than a message needs.
        """
        new_body_bytes = self._new_body_bytes
        self._new_body_bytes = 0
        self._body_bytes += new_body_bytes
        if size > new_body_bytes:
            self._framing_bytes += size - new_body_bytes
        if new_body_bytes:
            self._silent_bytes = 0
        else:
            self._silent_bytes += size
        allowed = self._limit + FRAMING_PER_BODY_BYTE * self._body_bytes
        return self._silent_bytes > self._limit or self._framing_bytes > allowed
