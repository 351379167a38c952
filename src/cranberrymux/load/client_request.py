"""One request of a client, with its resends."""

from collections.abc import Callable
import random
from typing import Any

from cranberrymux.load import answer_check
from cranberrymux.load import attempt as attempt_module
from cranberrymux.load import call_connection
from cranberrymux.load import connection_pool
from cranberrymux.load import kind_settings
from cranberrymux.load import load_settings
from cranberrymux.load import lost
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import recorder as recorder_module

BACKOFF_S = 0.1
BACKOFF_MAX_S = 5.0

_Kind = outcome_kind.OutcomeKind
_RESENT = (_Kind.FAILED, _Kind.NOT_RUN, _Kind.UNKNOWN)


class ClientRequest:
    """Sends, judges each answer, and sends again as its kind says."""

    def __init__(
        self,
        *,
        reactor: Any,
        settings: load_settings.LoadSettings,
        kind: kind_settings.KindSettings,
        recorder: recorder_module.Recorder,
        generator: random.Random,
        next_pool: Callable[[], connection_pool.ConnectionPool],
        on_end: Callable[["ClientRequest"], None],
    ) -> None:
        """Sends nothing yet.

        Args:
            reactor: Clock and timers.
            settings: Settings of the load.
            kind: Settings of this kind of request.
            recorder: Counts of this kind.
            generator: Seeded chance.
            next_pool: Gives the target of the next attempt.
            on_end: Called once.
        """
        self._reactor = reactor
        self._settings = settings
        self._kind = kind
        self._recorder = recorder
        self._generator = generator
        self._next_pool = next_pool
        self._on_end = on_end
        self._request_id = ""
        self._encoded = b""
        self._intended_s = 0.0
        self._start_s = 0.0
        self._attempts = 0
        self._is_over = False
        self._attempt: attempt_module.Attempt | None = None
        self._resend: Any = None
        self._hangs_up = generator.random() < kind.hang_up_share

    def start(
        self, request_id: str, encoded: bytes, intended_s: float, start_s: float
    ) -> None:
        """Sends the first attempt.

        Args:
            request_id: Id of the request.
            encoded: The whole request.
            intended_s: When it should have been sent, monotonic seconds.
            start_s: Start of the load, monotonic seconds.
        """
        self._request_id = request_id
        self._encoded = encoded
        self._intended_s = intended_s
        self._start_s = start_s
        self._recorder.count_sent()
        self._send()

    def end(self) -> None:
        """Gives up because the load is over."""
        self._is_over = True
        if self._resend is not None and self._resend.active():
            self._resend.cancel()
            self._finish(
                outcome.Outcome(_Kind.UNKNOWN, lost.Lost.UNFINISHED.value)
            )
        elif self._attempt is not None:
            self._attempt.end(lost.Lost.UNFINISHED)

    def _send(self) -> None:
        self._attempts += 1
        self._attempt = attempt_module.Attempt(
            self._reactor, self._next_pool(), self._encoded, self._take_result
        )
        if self._hangs_up:
            self._attempt.start(self._kind.hang_up_ms / 1000, lost.Lost.HUNG_UP)
        else:
            limit_ms = self._kind.timeout_ms + self._settings.late_ms
            self._attempt.start(limit_ms / 1000, lost.Lost.TIMED_OUT)

    def _take_result(
        self, attempt: attempt_module.Attempt, result: call_connection.Result
    ) -> None:
        now_s = self._reactor.seconds()
        wire_s = now_s - attempt.sent_s
        judged = answer_check.check(result, self._request_id)
        if judged.kind is _Kind.DONE:
            latency_s = now_s - self._intended_s
            self._recorder.count_done(
                now_s - self._start_s,
                latency_s,
                wire_s,
                latency_s * 1000 > self._kind.timeout_ms,
            )
        elif judged.kind is _Kind.NOT_RUN and not isinstance(result, lost.Lost):
            self._recorder.count_refusal(wire_s)
        delay_s = self._resend_delay_s(judged)
        if delay_s is None:
            self._finish(judged)
        else:
            self._resend = self._reactor.callLater(delay_s, self._send)

    def _resend_delay_s(self, judged: outcome.Outcome) -> float | None:
        if self._is_over or judged.kind not in _RESENT:
            return None
        if self._attempts > self._kind.resend_attempts:
            return None
        if self._kind.impatient:
            return 0.0
        if judged.retry_after_ms is not None:
            return judged.retry_after_ms / 1000
        if judged.is_final:
            return None
        longest_s = min(BACKOFF_MAX_S, BACKOFF_S * 2**self._attempts)
        return self._generator.uniform(longest_s / 2, longest_s)

    def _finish(self, judged: outcome.Outcome) -> None:
        self._recorder.count_outcome(judged, self._attempts)
        self._on_end(self)
