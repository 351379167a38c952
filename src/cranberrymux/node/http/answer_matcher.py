"""Tells the answer to a request from answers to others by its id."""

from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import recent_ids
from cranberrymux.node.http import request_identity
from cranberrymux.node.http import unexpected_answer

# Minimum number of the last ids sent on a connection that are kept; at most
# twice as many are.
_REMEMBERED_IDS = 64
# The same for ids of requests that were refused or failed: such a request may
# be sent again, and its refusal written again, after many others.
_REMEMBERED_FAILURES = 256


class AnswerMatcher:
    """Remembers the ids that were sent on one connection."""

    def __init__(self) -> None:
        """Starts without a request; every answer matches."""
        self._identity: request_identity.RequestIdentity | None = None
        self._has_read_id = False
        # Hashes, as ids may be as long as headers.
        self._sent_ids: set[int] = set()
        self._earlier_ids: set[int] = set()
        self._failed_ids = recent_ids.RecentIds(_REMEMBERED_FAILURES)

    @property
    def request_id(self) -> bytes:
        """Id of the request that was sent last; empty if it has none."""
        return b"" if self._identity is None else self._identity.value

    def expect(self, identity: request_identity.RequestIdentity | None) -> None:
        """Expects the answer to a request from now on.

        Args:
            identity: Id of the request. None accepts every answer.
        """
        self._identity = identity
        if identity is not None:
            if len(self._sent_ids) >= _REMEMBERED_IDS:
                self._earlier_ids = self._sent_ids
                self._sent_ids = set()
            self._sent_ids.add(hash(identity.value))

    def note_failure(self) -> None:
        """Notes that the request that was sent last was refused or failed."""
        if self._identity is not None:
            self._failed_ids.add(self._identity.value)

    def has_sent(
        self, identity: request_identity.RequestIdentity | None
    ) -> bool:
        """Returns whether a request is among the last that were sent here.

        A late answer to its first sending could not be told from the answer to
        a second one.
        """
        if identity is None:
            return False
        sent_id = hash(identity.value)
        if sent_id in self._sent_ids or sent_id in self._earlier_ids:
            return True
        failed = self._failed_ids
        return not failed.is_empty and failed.has(identity.value)

    def has_several_ids(self, headers: headers_module.Headers) -> bool:
        """Returns whether the head of an answer names several requests."""
        if self._identity is None:
            return False
        ids = headers_module.find_all(headers, self._identity.header)
        return len(set(ids)) > 1

    def find_mismatch(
        self, headers: headers_module.Headers
    ) -> unexpected_answer.UnexpectedAnswer | None:
        """Returns why an answer is not the expected one; None if it is."""
        if self._identity is None:
            return None
        answer_id = headers.first.get(self._identity.header)
        if answer_id is None:
            if not self._identity.is_required and not self._has_read_id:
                return None
            return unexpected_answer.UnexpectedAnswer(
                unexpected_answer.UnexpectedKind.NO_ID, self.request_id, b""
            )
        self._has_read_id = True
        if answer_id == self._identity.value:
            return None
        return unexpected_answer.UnexpectedAnswer(
            unexpected_answer.UnexpectedKind.OTHER_ID,
            self.request_id,
            answer_id,
        )
