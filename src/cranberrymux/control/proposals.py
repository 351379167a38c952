"""Proposed commands whose callers wait for the commit."""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from cranberrymux.consensus import entry as entry_module
from cranberrymux.wire.gen.messages import ttypes


class _PendingProposal(NamedTuple):
    term: int
    answer: "defer.Deferred[Any]"


class Proposals:
    """Commands that this instance proposed as leader, by their log index."""

    def __init__(self) -> None:
        """Starts empty."""
        self._pending: dict[int, _PendingProposal] = {}

    def __len__(self) -> int:
        """Returns the number of commands that are not answered yet."""
        return len(self._pending)

    def add(self, log_index: int, term: int) -> "defer.Deferred[Any]":
        """Registers a proposal whose entry was appended to the log.

        An earlier proposal at the same index is answered as undecided.

        Args:
            log_index: Index of the proposed entry.
            term: Term of the proposed entry.

        Returns:
            Fires with the `CommandAnswer`; cancelling it drops the proposal.
        """
        replaced = self._pending.pop(log_index, None)
        if replaced is not None:
            # The entry is overwritten here, but a replica that still holds it
            # may yet be elected and commit it.
            replaced.answer.callback(undecided_answer())

        def drop(_: "defer.Deferred[Any]") -> None:
            self._pending.pop(log_index, None)

        answer: defer.Deferred[Any] = defer.Deferred(drop)
        self._pending[log_index] = _PendingProposal(term, answer)
        return answer

    def resolve(self, entry: entry_module.Entry, answer: Any) -> None:
        """Answers the command that was proposed at an entry's index.

        An entry of another term at that index proves that the command was
        lost.

        Args:
            entry: The committed entry.
            answer: The state machine's `CommandAnswer`; None if the entry is
                not a command.
        """
        pending = self._pending.pop(entry.log_index, None)
        if pending is None:
            return
        if pending.term == entry.term and answer is not None:
            pending.answer.callback(answer)
        else:
            pending.answer.callback(rejected_answer())

    def mark_undecided_up_to(self, log_index: int) -> None:
        """Answers as undecided the commands that a snapshot covers."""
        for covered in [index for index in self._pending if index <= log_index]:
            self._pending.pop(covered).answer.callback(undecided_answer())


def rejected_answer(leader: str = "", retry_after_ms: int = 0) -> Any:
    """Returns the answer to a command that will certainly not be accepted."""
    return ttypes.CommandAnswer(
        committed=False,
        rejected=True,
        leader=leader or None,
        retry_after_ms=retry_after_ms,
    )


def undecided_answer(retry_after_ms: int = 0) -> Any:
    """Returns the answer to a command that may still be accepted."""
    return ttypes.CommandAnswer(
        committed=False, rejected=False, retry_after_ms=retry_after_ms
    )
