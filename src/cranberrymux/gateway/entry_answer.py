"""The one answer that a client gets to its request."""

from typing import NamedTuple

from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import origin as origin_module
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import request_log
from cranberrymux.gateway import tries as tries_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import inbound_call

_Outcome = own_answers.Outcome


class _FailedAnswer(NamedTuple):
    """An endpoint's failure, kept while the request is tried once more."""

    head: answer_head.AnswerHead
    body: bytes


class EntryAnswer:
    """Gives an endpoint's answer, or one of this node, and writes it down."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        call: inbound_call.InboundCall,
        origin: origin_module.Origin,
        tries: tries_module.Tries,
        log: request_log.RequestLog,
    ) -> None:
        """Keeps the call; `on_ended` of it comes here."""
        self._parts = parts
        self._call = call
        self._origin = origin
        self._tries = tries
        self._log = log
        self._kept: _FailedAnswer | None = None
        self._is_served = False
        call.on_ended = self._ended

    @property
    def is_begun(self) -> bool:
        """True once the client has got a part of it."""
        return self._call.is_head_sent

    @property
    def keeps_failure(self) -> bool:
        """True if an endpoint's failure is there in case nothing better is."""
        return self._kept is not None

    def keep_failure(self, head: answer_head.AnswerHead, body: bytes) -> None:
        """Keeps an endpoint's failure while the request is tried once more."""
        self._kept = _FailedAnswer(head, body)

    def pass_on(self, head: answer_head.AnswerHead, body: bytes) -> None:
        """Gives an endpoint's answer."""
        self._is_served = not hop_answer.is_failure(head)
        self._log.tell_passed_on(head)
        self._call.answer(head.status, hop_answer.remove_news(head), body)

    def begin(self, head: answer_head.AnswerHead, body: bytes) -> None:
        """Gives the beginning of an endpoint's long answer."""
        visible = hop_answer.remove_news(head)
        self._call.start_answer(head._replace(headers=visible))
        self._call.send_body(body)

    def finish(self) -> None:
        """Ends a long answer."""
        self._is_served = True
        self._log.count("streamed")
        self._call.finish()

    def cut(self, detail: str) -> None:
        """Ends a long answer that does not become whole, visibly."""
        self._log.tell(_Outcome.TRUNCATED, detail)
        self._call.abort()

    def refuse(self, outcome: own_answers.Outcome, detail: str = "") -> None:
        """Says that the request did not run, if that is so."""
        if self._tries.is_maybe_run:
            self.fail(_Outcome.LOST, 502, "an attempt was lost")
            return
        if self._gave_kept():
            return
        self._log.tell(outcome, detail)
        wait_s = self._origin.find_wait_s()
        own_answers.refuse(self._parts, self._call, outcome.value, wait_s)

    def fail(
        self, outcome: own_answers.Outcome, status: int, detail: str
    ) -> None:
        """Says that it is not known whether the request ran."""
        if self._gave_kept():
            return
        self._log.tell(outcome, detail)
        own_answers.fail(self._parts, self._call, status, outcome, detail)

    def _gave_kept(self) -> bool:
        if self._kept is None:
            return False
        self.pass_on(*self._kept)
        return True

    def _ended(self) -> None:
        self._origin.end_call(not self._is_served)
        self._parts.call_ended()
