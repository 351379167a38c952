"""Bounds the age of the state that a follower serves."""

_MS_PER_S = 1000


class Vouching:
    """Tells for how long a follower vouches for its applied state.

    A follower asks the leader for the newest log index that can have been
    committed; only a leader that holds its lease gives one. Once the follower
    has applied that index, its state was up to date when it asked, and it
    vouches for the state until `window_s` after that time.
    """

    def __init__(self, window_s: float) -> None:
        """Creates the state of a follower that has no answer yet.

        Args:
            window_s: Seconds for which one answer of the leader counts, from
                the time of the question.
        """
        self._window_s = window_s
        self._asked_s = 0.0
        self._commit_index: int | None = None
        self._vouched_until_s = 0.0

    def note_answer(self, asked_s: float, commit_index: int) -> None:
        """Records the answer of a leader that held its lease.

        The answer to an earlier question than the last is ignored.

        Args:
            asked_s: When the leader was asked, on this instance's clock.
            commit_index: Newest log index that can have been committed then.
        """
        if asked_s >= self._asked_s:
            self._asked_s = asked_s
            self._commit_index = commit_index

    def vouched_ms(self, now_s: float, applied_index: int) -> int:
        """Returns for how long the applied state is vouched for.

        Args:
            now_s: The clock of `asked_s`.
            applied_index: Newest log index that this follower has applied.

        Returns:
            Milliseconds from now; 0 if the state is not vouched for.
        """
        if self._commit_index is None:
            return 0
        if applied_index >= self._commit_index:
            self._vouched_until_s = max(
                self._vouched_until_s, self._asked_s + self._window_s
            )
        return max(0, int((self._vouched_until_s - now_s) * _MS_PER_S))
