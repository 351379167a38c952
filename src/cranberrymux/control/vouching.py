"""How long a follower vouches for its state."""

_MS_PER_S = 1000


class Vouching:
    """A follower's knowledge that its state was the newest.

    A leader that holds its lease tells the newest entry that can have been
    accepted. A follower that has applied it was up to date when it asked, and
    vouches for `window_s` from then.
    """

    def __init__(self, window_s: float) -> None:
        """Starts without knowledge.

        Args:
            window_s: How long one answer of the leader counts.
        """
        self._window_s = window_s
        self._asked_s = 0.0
        self._commit_index: int | None = None
        self._until_s = 0.0

    def note_answer(self, asked_s: float, commit_index: int) -> None:
        """Takes the answer of a leader that held its lease.

        Args:
            asked_s: When the leader was asked, on this instance's clock.
            commit_index: The newest entry that can have been accepted.
        """
        if asked_s >= self._asked_s:
            self._asked_s = asked_s
            self._commit_index = commit_index

    def vouched_ms(self, now_s: float, applied_index: int) -> int:
        """Returns how long the state as applied is vouched for; 0: not."""
        if self._commit_index is None:
            return 0
        if applied_index >= self._commit_index:
            self._until_s = max(self._until_s, self._asked_s + self._window_s)
        return max(0, int((self._until_s - now_s) * _MS_PER_S))
