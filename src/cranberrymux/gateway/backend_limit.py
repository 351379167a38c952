"""The rate limit of the backend server beside this node."""

from typing import Any

from cranberrymux.decisions.rate_limits import known_rate_limit
from cranberrymux.decisions.rate_limits import limit_source
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import parts as parts_module

_Source = limit_source.LimitSource


class BackendLimit:
    """Keeps the limit for as long as one process of the backend server runs.

    Writes a log line for each change and for each limit that is not valid.
    """

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Starts without any information.

        Args:
            parts: Shared state of the gateway.
        """
        self._parts = parts
        self._known = known_rate_limit.KnownRateLimit()
        self._backend_id = ""
        # Start time in Unix milliseconds; 0 while it is not known.
        self._started_ms = 0

    @property
    def per_s(self) -> float | None:
        """Requests a second; None without a limit."""
        return self._known.per_s

    def use_process(self, backend_id: str, started_ms: int) -> None:
        """Forgets the limit if the backend server is another process.

        Args:
            backend_id: Id of the backend server.
            started_ms: Its start time in Unix milliseconds; 0 if unknown.
        """
        is_same = backend_id == self._backend_id and (
            started_ms == self._started_ms or not self._started_ms
        )
        self._backend_id = backend_id
        self._started_ms = started_ms
        if not is_same:
            self._known = known_rate_limit.KnownRateLimit()
            self._parts.metrics.rate_limit.set(0.0)

    def note_answer(
        self,
        signals: backend_signals.BackendSignals,
        sent_s: float,
        request_id: bytes,
        source: limit_source.LimitSource = _Source.ANSWER,
    ) -> None:
        """Learns from an answer of the backend server.

        Args:
            signals: What the answer says.
            sent_s: Monotonic seconds at which its request was sent.
            request_id: Id of the request; empty for a health check.
            source: What the answer was to.
        """
        if signals.rate_limit_error:
            self._log_invalid("rate-limit", signals.rate_limit_error)
            return
        previous = self._describe()
        now_s = self._parts.clock.now_s()
        if self._known.note_answer(
            signals.rate_limit_per_s, sent_s, now_s, source
        ):
            self._log_change(previous, request_id)

    def _log_change(self, previous: dict[str, Any], request_id: bytes) -> None:
        self._parts.metrics.rate_limit.set(self.per_s or 0.0)
        source = self._known.source
        assert source is not None
        self._parts.events.info(
            "backend-rate-limit",
            backend_id=self._backend_id,
            started_ms=self._started_ms,
            per_s=self.per_s,
            source=source.value,
            request_id=request_id.decode("latin-1"),
            **previous,
        )

    def _describe(self) -> dict[str, Any]:
        """Returns the log fields of the limit that a change ends."""
        known = self._known
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
            backend_id=self._backend_id,
            detail=detail,
        )
