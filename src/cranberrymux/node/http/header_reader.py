"""Collects the headers of one message and checks their limits."""

from cranberrymux.node.http import headers

_WHITESPACE = frozenset((b" ", b"\t"))
_lower_names = headers.lower_names


class HeaderReader:
    """The headers and trailers of the message that is read.

    A parser calls `add` for each. The limits are checked once for all that
    one read has brought, and the bytes counted only if they may be too many.

    Attributes:
        pairs: Headers, or after `take` trailers, read so far; names in lower
            case.
        message_bytes: Bytes read of the message, of its head at first.
    """

    def __init__(self, maximum_bytes: int, maximum_count: int) -> None:
        """Starts without headers.

        Args:
            maximum_bytes: Most bytes of all names and values together.
            maximum_count: Most headers and trailers.
        """
        self._maximum_bytes = maximum_bytes
        self._maximum_count = maximum_count
        self.pairs: headers.HeaderList = []
        self._taken: headers.HeaderList = []
        # False once a value has whitespace behind it.
        self._is_normal = True
        self.message_bytes = 0
        self._read_bytes = 0

    def set_limits(self, maximum_bytes: int, maximum_count: int) -> None:
        """Sets the limits, before the next message begins."""
        self._maximum_bytes = maximum_bytes
        self._maximum_count = maximum_count

    def note_read(self, size: int) -> None:
        """Counts the bytes of a read before they are parsed."""
        self._read_bytes = size
        self.message_bytes += size

    def begin(self) -> None:
        """Starts the next message, within the present read."""
        self.pairs = []
        self._taken = []
        self._is_normal = True
        self.message_bytes = self._read_bytes

    def add(self, name: bytes, value: bytes) -> None:
        """Adds a header or trailer as it was read."""
        self.pairs.append((_lower_names[name], value))
        if value[-1:] in _WHITESPACE:
            self._is_normal = False

    def take(self) -> headers.Headers | None:
        """Returns the headers, at the end of the head; None if exceeded."""
        taken = self.pairs
        if (
            len(taken) > self._maximum_count
            or self.message_bytes > self._maximum_bytes
        ) and self.is_exceeded:
            return None
        self._taken = taken
        self.pairs = []
        return headers.Headers(taken, self._is_normal)

    @property
    def has_too_many(self) -> bool:
        """True if there are more headers and trailers than allowed."""
        return len(self._taken) + len(self.pairs) > self._maximum_count

    @property
    def is_exceeded(self) -> bool:
        """True if there are too many or they are too long."""
        pairs = self._taken + self.pairs
        if len(pairs) > self._maximum_count:
            return True
        if self.message_bytes <= self._maximum_bytes:
            return False
        size = sum(len(name) + len(value) for name, value in pairs)
        return size > self._maximum_bytes
