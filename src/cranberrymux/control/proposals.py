"""Commands that wait for their commit."""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from cranberrymux.consensus import entry as entry_module
from cranberrymux.wire.gen.messages import ttypes


class _Waiting(NamedTuple):
    term: int
    answer: "defer.Deferred[Any]"


class Proposals:
    """Commands that this instance took as leader, by their log index."""

    def __init__(self) -> None:
        """Starts empty."""
        self._waiting: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        """Returns the number of commands that wait."""
        return len(self._waiting)

    def add(self, log_index: int, term: int) -> "defer.Deferred[Any]":
        """Waits for an entry; cancelling the result gives it up."""
        replaced = self._waiting.pop(log_index, None)
        if replaced is not None:
            # Overwritten here, but another replica that still holds it may
            # yet be elected and commit it.
            replaced.answer.callback(leave_open())

        def forget(_: "defer.Deferred[Any]") -> None:
            self._waiting.pop(log_index, None)

        answer: defer.Deferred[Any] = defer.Deferred(forget)
        self._waiting[log_index] = _Waiting(term, answer)
        return answer

    def settle(self, entry: entry_module.Entry, answer: Any) -> None:
        """Answers the command that was proposed at a committed entry."""
        waiting = self._waiting.pop(entry.log_index, None)
        if waiting is None:
            return
        if waiting.term == entry.term and answer is not None:
            waiting.answer.callback(answer)
        else:
            waiting.answer.callback(reject())

    def forget_up_to(self, log_index: int) -> None:
        """Answers, with no result, what a snapshot has passed over."""
        for index in [one for one in self._waiting if one <= log_index]:
            self._waiting.pop(index).answer.callback(leave_open())


def reject(leader: str = "", retry_after_ms: int = 0) -> Any:
    """Makes the answer to a command that is proven not accepted."""
    return ttypes.CommandAnswer(
        committed=False,
        rejected=True,
        leader=leader or None,
        retry_after_ms=retry_after_ms,
    )


def leave_open(retry_after_ms: int = 0) -> Any:
    """Makes the answer to a command that may yet be accepted."""
    return ttypes.CommandAnswer(
        committed=False, rejected=False, retry_after_ms=retry_after_ms
    )
