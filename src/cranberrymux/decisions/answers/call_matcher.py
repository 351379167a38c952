"""Brings each answer to its own call."""

from cranberrymux.decisions.answers import acceptance
from cranberrymux.decisions.answers import answer_head
from cranberrymux.decisions.answers import attempt_key
from cranberrymux.models import answer_kind

_Acceptance = acceptance.Acceptance


class _WaitingCall:
    __slots__ = ("answered", "attempt", "call_id", "request_id")

    def __init__(self, key: attempt_key.AttemptKey) -> None:
        self.request_id = key.request_id
        self.call_id = key.call_id
        self.attempt = key.attempt
        self.answered = False


class CallMatcher:
    """Knows the calls that wait at a caller's node.

    A call has a ticket of its own, since two runs of one parent make child
    calls with the same ids.
    """

    def __init__(self) -> None:
        """Starts without calls."""
        self._calls: dict[int, _WaitingCall] = {}
        self._last_ticket = 0

    def __len__(self) -> int:
        """Number of calls begun and not ended."""
        return len(self._calls)

    def begin(self, key: attempt_key.AttemptKey) -> int:
        """Begins to wait for a call's answer.

        Returns:
            The ticket that goes with each connection on which it is sent.
        """
        self._last_ticket += 1
        self._calls[self._last_ticket] = _WaitingCall(key)
        return self._last_ticket

    def retry(self, ticket: int, attempt: int) -> None:
        """Notes that a call is sent once more, with a higher attempt."""
        call = self._calls.get(ticket)
        if call is not None and attempt > call.attempt:
            call.attempt = attempt

    def accept(
        self, ticket: int, head: answer_head.AnswerHead, whole: bool
    ) -> acceptance.Acceptance:
        """Decides the fate of an answer.

        Of an earlier attempt, only a done answer satisfies the call: any
        other says nothing of the attempt that runs.

        Args:
            ticket: Ticket of the connection on which it came.
            head: What it says of itself.
            whole: Result of its length check; True for one that streams,
                whose connection is then cut if the check fails at its end.
        """
        call = self._calls.get(ticket)
        if call is None or call.answered:
            return _Acceptance.LATE
        if head.request_id not in {None, call.request_id}:
            return _Acceptance.STRANGER
        if not 1 <= head.attempt <= call.attempt:
            return _Acceptance.STRANGER
        if not whole:
            return _Acceptance.TRUNCATED
        done = head.kind is answer_kind.AnswerKind.DONE
        if head.attempt < call.attempt and not done:
            return _Acceptance.LATE
        call.answered = True
        return _Acceptance.DELIVER

    def end(self, ticket: int) -> None:
        """Forgets a call; answers that still come are late."""
        self._calls.pop(ticket, None)
