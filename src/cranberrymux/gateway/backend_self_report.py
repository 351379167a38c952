"""What the backend server beside this node has said of itself in answers."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.rate_limits import known_rate_limit
from cranberrymux.decisions.rate_limits import limit_source
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import backend_process

_Source = limit_source.LimitSource
_NO_PROCESS = backend_process.BackendProcess("", 0)


class BackendSelfReport:
    """The rate limit of one process of the backend server, and its leaving.

    Writes a log line for each change and for each value that is not valid.

    Attributes:
        process: The process that the information is about.
        known: The rate limit of the process.
        is_leaving: True once the process has said that it is leaving.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        on_leaving: Callable[[str], Any],
    ) -> None:
        """Starts without any information.

        Args:
            parts: Shared state of the gateway.
            on_leaving: Called with the id of the backend server when it first
                says that it is leaving.
        """
        self._parts = parts
        self._on_leaving = on_leaving
        self.process = _NO_PROCESS
        self.known = known_rate_limit.KnownRateLimit()
        self.is_leaving = False

    def use_process(self, process: backend_process.BackendProcess) -> None:
        """Forgets everything if the backend server is another process."""
        is_same = process.may_be(self.process)
        self.process = process
        if not is_same:
            self.known = known_rate_limit.KnownRateLimit()
            self.is_leaving = False
            self._parts.metrics.rate_limit.set(0.0)

    def note_answer(
        self,
        signals: backend_signals.BackendSignals,
        sent_s: float,
        request_id: bytes,
        source: limit_source.LimitSource = _Source.ANSWER,
    ) -> None:
        """Learns from an answer of this process.

        Args:
            signals: What the answer says.
            sent_s: Monotonic seconds at which its request was sent.
            request_id: Id of the request; empty for a health check.
            source: What the answer was to.
        """
        if signals.leaving_error:
            self._log_invalid("leaving", signals.leaving_error)
        if signals.load_error:
            self._log_invalid("load", signals.load_error)
        if signals.is_leaving and not self.is_leaving:
            self._leave(request_id)
        if signals.rate_limit_error:
            self._log_invalid("rate-limit", signals.rate_limit_error)
            return
        previous = self._describe_limit()
        now_s = self._parts.clock.now_s()
        if self.known.note_answer(
            signals.rate_limit_per_s, sent_s, now_s, source
        ):
            self._log_limit(previous, request_id)

    def note_sender(self, per_s: float, request_id: bytes) -> None:
        """Learns from a request whose sender knows the limit.

        Args:
            per_s: Limit that it knows.
            request_id: Id of the request.
        """
        previous = self._describe_limit()
        if self.known.note_sender(per_s, self._parts.clock.now_s()):
            self._log_limit(previous, request_id)

    def _leave(self, request_id: bytes) -> None:
        self.is_leaving = True
        self._parts.events.info(
            "backend-leaving",
            **self.process._asdict(),
            request_id=request_id.decode("latin-1"),
        )
        self._on_leaving(self.process.backend_id)

    def _log_limit(self, previous: dict[str, Any], request_id: bytes) -> None:
        self._parts.metrics.rate_limit.set(self.known.per_s or 0.0)
        source = self.known.source
        assert source is not None
        self._parts.events.info(
            "backend-rate-limit",
            **self.process._asdict(),
            per_s=self.known.per_s,
            source=source.value,
            request_id=request_id.decode("latin-1"),
            **previous,
        )

    def _describe_limit(self) -> dict[str, Any]:
        """Returns the log fields of the limit that a change ends."""
        known = self.known
        if known.per_s is None:
            return {"previous_per_s": None}
        held_s = self._parts.clock.now_s() - known.since_s
        return {
            "previous_per_s": known.per_s,
            "previous_held_s": round(held_s, 3),
        }

    def _log_invalid(self, reason: str, detail: str) -> None:
        self._parts.events.info(
            "backend-signal-invalid",
            reason=reason,
            backend_id=self.process.backend_id,
            detail=detail,
        )
