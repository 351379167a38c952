"""The single answer to a request of a client."""

from typing import NamedTuple

from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import origin as origin_module
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import request_log
from cranberrymux.node.http import inbound_call

TOO_MANY_REQUESTS = 429
_Outcome = own_answers.Outcome


class _FailedAnswer(NamedTuple):
    """Failure of an endpoint, kept while the request is repeated."""

    answer: hop_answer.HopAnswer
    body: bytes


class EntryAnswer:
    """Sends an endpoint's answer or one of this node, and logs it."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        call: inbound_call.InboundCall,
        origin: origin_module.Origin,
        attempts: attempts_module.Attempts,
        log: request_log.RequestLog,
    ) -> None:
        """Subscribes to the end of the call.

        Args:
            parts: Shared state of the gateway.
            call: The request to answer.
            origin: Where the request came from.
            attempts: The attempts of the request.
            log: Counts and logs how the request ended.
        """
        self._parts = parts
        self._call = call
        self._origin = origin
        self._attempts = attempts
        self._log = log
        self._kept_failure: _FailedAnswer | None = None
        self._streamed: hop_answer.HopAnswer | None = None
        self._is_served = False
        call.on_ended = self._handle_ended

    @property
    def is_started(self) -> bool:
        """True once the head was sent to the client."""
        return self._call.is_head_sent

    def keep_failure(self, answer: hop_answer.HopAnswer, body: bytes) -> None:
        """Keeps an endpoint's failure as a fallback for the repeat."""
        self._kept_failure = _FailedAnswer(answer, body)

    def forward(
        self, answer: hop_answer.HopAnswer, body: bytes, now_s: float
    ) -> None:
        """Sends an endpoint's whole answer."""
        self._note_endpoint_answer(answer, now_s)
        visible = hop.get_forwardable(answer.head.headers)
        self._call.answer(answer.head.status, visible, body)

    def start_streaming(
        self, answer: hop_answer.HopAnswer, body: bytes
    ) -> None:
        """Sends the head and first bytes of an endpoint's long answer."""
        self._streamed = answer
        visible = hop.get_forwardable(answer.head.headers)
        self._call.start_answer(answer.head._replace(headers=visible))
        self._call.send_body(body)

    def finish_streaming(self) -> None:
        """Ends a long answer that is complete."""
        assert self._streamed is not None
        self._note_endpoint_answer(self._streamed, self._parts.clock.now_s())
        self._call.finish()

    def abort_streaming(self, detail: str) -> None:
        """Aborts a long answer, so that the client sees it is incomplete."""
        self._log.log_own_answer(_Outcome.TRUNCATED, detail)
        self._call.abort()

    def refuse(
        self,
        outcome: own_answers.Outcome,
        detail: str = "",
        minimum_delay_s: float = 0.0,
    ) -> None:
        """Answers that the request did not run.

        An attempt that may have run makes this a failure, and a kept failure
        of an endpoint is sent instead.

        Args:
            outcome: Why it did not run.
            detail: Cause, for the log.
            minimum_delay_s: Seconds after which a retry can succeed.
        """
        if self._attempts.may_have_run:
            self.fail(
                _Outcome.LOST, 502, "the answer to an earlier attempt was lost"
            )
            return
        if self._send_kept_failure():
            return
        self._log.log_own_answer(outcome, detail)
        if outcome is _Outcome.OVER_QUOTA:
            own_answers.refuse(
                self._parts,
                self._call,
                outcome.value,
                minimum_delay_s,
                TOO_MANY_REQUESTS,
            )
            return
        retry_delay_s = max(
            self._origin.draw_retry_delay_s(),
            self._attempts.room_wait_s,
            minimum_delay_s,
        )
        own_answers.refuse(
            self._parts, self._call, outcome.value, retry_delay_s
        )

    def fail(
        self, outcome: own_answers.Outcome, status: int, detail: str
    ) -> None:
        """Answers that the request may have run, or sends a kept failure."""
        if self._send_kept_failure():
            return
        self._log.log_own_answer(outcome, detail)
        own_answers.fail(self._parts, self._call, status, outcome, detail)

    def _note_endpoint_answer(
        self, answer: hop_answer.HopAnswer, now_s: float
    ) -> None:
        self._is_served = not answer.is_failure
        self._log.log_endpoint_answer(answer, now_s)

    def _send_kept_failure(self) -> bool:
        if self._kept_failure is None:
            return False
        self.forward(*self._kept_failure, self._parts.clock.now_s())
        return True

    def _handle_ended(self) -> None:
        self._origin.end_call(not self._is_served)
        self._parts.open_entry_calls -= 1
