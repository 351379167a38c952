"""The last ids of a sequence, in bounded memory."""


class RecentIds:
    """Remembers at least a given number of the last ids, at most twice that.

    Attributes:
        is_empty: True before the first id.
    """

    def __init__(self, minimum_count: int) -> None:
        """Starts without ids.

        Args:
            minimum_count: Number of the last ids that are surely remembered.
        """
        self._minimum_count = minimum_count
        # Hashes, as ids may be as long as headers.
        self._later: set[int] = set()
        self._earlier: set[int] = set()
        self.is_empty = True

    def add(self, value: bytes) -> None:
        """Remembers an id."""
        self.is_empty = False
        if len(self._later) >= self._minimum_count:
            self._earlier = self._later
            self._later = set()
        self._later.add(hash(value))

    def has(self, value: bytes) -> bool:
        """Returns whether an id is remembered."""
        hashed = hash(value)
        return hashed in self._later or hashed in self._earlier
