"""Matches received answers to waiting calls."""

from cranberrymux.decisions.answers import acceptance
from cranberrymux.decisions.answers import answer_identity
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
    """Calls that wait for an answer at a caller's node.

    Each call gets a ticket that is unique on this node, since two runs of one
    parent make child calls with the same ids.
    """

    def __init__(self) -> None:
        """Creates a matcher without calls."""
        self._calls: dict[int, _WaitingCall] = {}
        self._last_ticket = 0

    def __len__(self) -> int:
        """Number of calls that have begun and not ended."""
        return len(self._calls)

    def begin(self, key: attempt_key.AttemptKey) -> int:
        """Registers a call that waits for an answer.

        Returns:
            The ticket of the call; the caller keeps it with each connection
            on which the call is sent.
        """
        self._last_ticket += 1
        self._calls[self._last_ticket] = _WaitingCall(key)
        return self._last_ticket

    def retry(self, ticket: int, attempt: int) -> None:
        """Records that a call is sent again with a higher attempt number."""
        call = self._calls.get(ticket)
        if call is not None and attempt > call.attempt:
            call.attempt = attempt

    def accept(
        self, ticket: int, identity: answer_identity.AnswerIdentity, whole: bool
    ) -> acceptance.Acceptance:
        """Decides whether an answer is delivered to its call.

        An answer to an earlier attempt is delivered only if it is `DONE`: any
        other kind says nothing about the attempt that is running.

        Args:
            ticket: Ticket of the connection on which the answer was received.
            identity: Request id, attempt and kind of the answer.
            whole: Result of the length check; True for a streamed answer,
                whose connection is closed if the check fails at its end.
        """
        call = self._calls.get(ticket)
        if call is None or call.answered:
            return _Acceptance.LATE
        if identity.request_id not in {None, call.request_id}:
            return _Acceptance.MISMATCHED
        if not 1 <= identity.attempt <= call.attempt:
            return _Acceptance.MISMATCHED
        if not whole:
            return _Acceptance.TRUNCATED
        is_done = identity.kind is answer_kind.AnswerKind.DONE
        if identity.attempt < call.attempt and not is_done:
            return _Acceptance.LATE
        call.answered = True
        return _Acceptance.DELIVER

    def end(self, ticket: int) -> None:
        """Removes a call; its later answers are `LATE`."""
        self._calls.pop(ticket, None)
