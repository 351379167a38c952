"""Detects a replica's disk that completes no writes."""


class DiskStallDetector:
    """Measures how long queued writes have waited for the disk."""

    def __init__(self, stall_s: float) -> None:
        """Starts with no write waiting.

        Args:
            stall_s: Seconds without a completed write, while writes wait,
                after which the disk counts as stalled.
        """
        self._stall_s = stall_s
        self._waiting_since_s: float | None = None
        self._is_full = False

    def note_full(self) -> None:
        """Counts the disk as stalled until it completes a write."""
        self._is_full = True

    def note_write_completed(self) -> None:
        """Restarts the wait, as a write was completed."""
        self._waiting_since_s = None
        self._is_full = False

    def note_queue_state(self, now_s: float, is_idle: bool) -> None:
        """Starts the wait if writes are queued, or ends it if none are.

        Args:
            now_s: Present time.
            is_idle: True if every write so far is durable.
        """
        if is_idle:
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """True if writes wait for room, or for more than `stall_s`."""
        if self._is_full:
            return True
        if self._waiting_since_s is None:
            return False
        return now_s - self._waiting_since_s > self._stall_s
