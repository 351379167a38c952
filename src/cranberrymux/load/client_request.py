"""One client request, from its first attempt to its last resend."""

from collections.abc import Callable
import random
from typing import Any

from cranberrymux.load import attempt as attempt_module
from cranberrymux.load import connection_pool
from cranberrymux.load import http_connection
from cranberrymux.load import kind_settings
from cranberrymux.load import load_settings
from cranberrymux.load import no_response_reason
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import recorder as recorder_module
from cranberrymux.load import response_check

BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 5.0

_Kind = outcome_kind.OutcomeKind
_RESENDABLE = (_Kind.FAILED, _Kind.NOT_RUN, _Kind.UNKNOWN)


class ClientRequest:
    """Sends a request until it succeeds or may not be sent again."""

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
        """Creates a request that is not started.

        Args:
            reactor: Clock and timers.
            settings: Settings of the load.
            kind: Settings of this kind of request.
            recorder: Records the outcome and latency of the request.
            generator: Seeded source of random numbers.
            next_pool: Returns the connections to the target of the next
                attempt.
            on_end: Called once, after the outcome was recorded.
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
        self._attempt_count = 0
        self._is_over = False
        self._attempt: attempt_module.Attempt | None = None
        self._resend_timer: Any = None
        self._is_hanging_up = generator.random() < kind.hang_up_share

    def start(
        self, request_id: str, encoded: bytes, intended_s: float, start_s: float
    ) -> None:
        """Sends the first attempt.

        Args:
            request_id: Id of the request, the same for every attempt.
            encoded: Encoded request, head and body.
            intended_s: Scheduled arrival, in monotonic seconds. Latency counts
                from here, so that time lost in the client is not omitted.
            start_s: Start of the load, in monotonic seconds.
        """
        self._request_id = request_id
        self._encoded = encoded
        self._intended_s = intended_s
        self._start_s = start_s
        self._recorder.count_sent()
        self._send()

    def cancel(self) -> None:
        """Gives the request up because the load has ended."""
        self._is_over = True
        if self._resend_timer is not None and self._resend_timer.active():
            self._resend_timer.cancel()
            self._finish(
                outcome.Outcome(
                    _Kind.UNKNOWN,
                    no_response_reason.NoResponseReason.UNFINISHED.value,
                )
            )
        elif self._attempt is not None:
            self._attempt.cancel(no_response_reason.NoResponseReason.UNFINISHED)

    def _send(self) -> None:
        self._attempt_count += 1
        self._attempt = attempt_module.Attempt(
            self._reactor, self._next_pool(), self._encoded, self._take_result
        )
        if self._is_hanging_up:
            self._attempt.start(
                self._kind.hang_up_ms / 1000,
                no_response_reason.NoResponseReason.HUNG_UP,
            )
        else:
            limit_ms = self._kind.timeout_ms + self._settings.late_ms
            self._attempt.start(
                limit_ms / 1000, no_response_reason.NoResponseReason.TIMED_OUT
            )

    def _take_result(
        self, attempt: attempt_module.Attempt, result: http_connection.Result
    ) -> None:
        now_s = self._reactor.seconds()
        wire_s = now_s - attempt.sent_s
        attempt_outcome = response_check.determine_outcome(
            result, self._request_id
        )
        if attempt_outcome.kind is _Kind.DONE:
            latency_s = now_s - self._intended_s
            self._recorder.count_done(
                now_s - self._start_s,
                latency_s,
                wire_s,
                latency_s * 1000 > self._kind.timeout_ms,
            )
        elif attempt_outcome.kind is _Kind.NOT_RUN and not isinstance(
            result, no_response_reason.NoResponseReason
        ):
            self._recorder.count_refusal(wire_s)
        delay_s = self._compute_resend_delay_s(attempt_outcome)
        if delay_s is None:
            self._finish(attempt_outcome)
        else:
            self._resend_timer = self._reactor.callLater(delay_s, self._send)

    def _compute_resend_delay_s(
        self, attempt_outcome: outcome.Outcome
    ) -> float | None:
        if self._is_over or attempt_outcome.kind not in _RESENDABLE:
            return None
        if self._attempt_count > self._kind.resend_attempts:
            return None
        if self._kind.impatient:
            return 0.0
        if attempt_outcome.retry_after_ms is not None:
            return attempt_outcome.retry_after_ms / 1000
        if attempt_outcome.is_final:
            return None
        max_delay_s = min(
            BACKOFF_MAX_S, BACKOFF_BASE_S * 2**self._attempt_count
        )
        return self._generator.uniform(max_delay_s / 2, max_delay_s)

    def _finish(self, attempt_outcome: outcome.Outcome) -> None:
        self._recorder.count_outcome(attempt_outcome, self._attempt_count)
        self._on_end(self)
