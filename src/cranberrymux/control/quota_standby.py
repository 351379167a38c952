"""Keeps tokens at an instance that does not own the quotas."""

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from cranberrymux.control import command_log
from cranberrymux.decisions.quotas import standby_pool
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.wire import quota_conversion
from cranberrymux.wire import wire_error


class QuotaStandby:
    """The pool of this instance, filled by the owner of the quotas.

    The pool stays when this instance becomes the owner: its tokens are those
    of the owner before.
    """

    def __init__(
        self,
        control_id: str,
        log: command_log.CommandLog,
        now_s: Callable[[], float],
        session: int,
    ) -> None:
        """Starts without tokens.

        Args:
            control_id: Name of this instance.
            log: Names the owner, and passes requests to it.
            now_s: Clock that also counts the time for which the instance is
                suspended.
            session: Number of the first session; see `StandbyPool`.
        """
        self._log = log
        self._now_s = now_s
        self._pool = standby_pool.StandbyPool(control_id, session)
        self._owner = ""
        self._sent_s = now_s()
        self._is_outstanding = False
        self._events = structlog.get_logger()

    def take(
        self, request: token_messages.TokenRequest
    ) -> token_messages.TokenAnswer:
        """Hands out tokens to a node that has got no answer of the owner."""
        return self._pool.take(request.rows, self._now_s())

    def count_tokens(self) -> int:
        """Returns how many tokens of all accounts are held."""
        return self._pool.count_tokens(self._now_s())

    def tick(self) -> None:
        """Asks the owner from time to time, unless it is this instance."""
        now_s = self._now_s()
        is_due = now_s - self._sent_s >= standby_pool.REFILL_INTERVAL_S
        owner = self._log.leader()
        if not is_due or self._is_outstanding or not owner:
            return
        if self._log.role() == "leader":
            return
        self._sent_s = now_s
        if owner != self._owner:
            self._owner = owner
            self._pool.start_session()
        defer.ensureDeferred(
            self._exchange(self._pool.next_request(now_s))
        ).addErrback(self._log_fault)

    async def _exchange(self, request: token_messages.TokenRequest) -> None:
        self._is_outstanding = True
        try:
            answer = await self._log.take_quota(
                quota_conversion.encode_request(request, 0)
            )
        finally:
            self._is_outstanding = False
        if not isinstance(answer, wire_error.WireError):
            self._pool.apply_answer(
                request, quota_conversion.decode_answer(answer), self._now_s()
            )
            return
        refusal = quota_conversion.find_refusal(answer)
        if refusal is not None:
            self._pool.note_refusal(request, refusal)

    def _log_fault(self, failure: Any) -> None:
        self._events.error("fault", error=str(failure.value))
