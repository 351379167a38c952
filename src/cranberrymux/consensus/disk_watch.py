"""How long a replica's disk has not finished a write."""


class DiskWatch:
    """Tells a disk that hangs."""

    def __init__(self, stall_s: float) -> None:
        """Takes a disk that is silent longer than this as hanging."""
        self._stall_s = stall_s
        self._waits_since_s: float | None = None

    def note_done(self) -> None:
        """A write was finished."""
        self._waits_since_s = None

    def note_state(self, now_s: float, is_idle: bool) -> None:
        """Tells whether writes are waiting."""
        if is_idle:
            self._waits_since_s = None
        elif self._waits_since_s is None:
            self._waits_since_s = now_s

    def hangs(self, now_s: float) -> bool:
        """True if writes have waited too long."""
        if self._waits_since_s is None:
            return False
        return now_s - self._waits_since_s > self._stall_s
