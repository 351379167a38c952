"""Metrics and log lines of one request at the entry port."""

from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module


class RequestLog:
    """Counts how a request ended and logs every failure of it.

    One in `parts.SERVED_PER_LOG_LINE` served requests is logged, too.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        attempts: attempts_module.Attempts,
        request_id: bytes,
        digest: str,
        began_s: float,
        deadline_s: float,
    ) -> None:
        """Stores the fields that every line has.

        Args:
            parts: Shared state of the gateway.
            attempts: The attempts of the request.
            request_id: Id of the request.
            digest: Digest of its content, which its resends share.
            began_s: Monotonic seconds at which it arrived.
            deadline_s: Monotonic seconds at which its caller gives up.
        """
        self._parts = parts
        self._attempts = attempts
        self._request_id = request_id
        self._digest = digest
        self._began_s = began_s
        self._deadline_s = deadline_s

    def count(self, outcome: str, now_s: float) -> None:
        """Counts the request under its outcome and records its duration."""
        metrics = self._parts.metrics
        route = self._attempts.route.name
        metrics.requests[route, outcome].value += 1
        metrics.request_s[route,].observe(now_s - self._began_s)

    def log_own_answer(self, outcome: own_answers.Outcome, detail: str) -> None:
        """Counts and logs a request that this node answered or cut off."""
        self.count(outcome.value, self._parts.clock.now_s())
        self._write("request-ended", outcome.value, detail)

    def log_endpoint_answer(
        self, answer: hop_answer.HopAnswer, now_s: float
    ) -> None:
        """Counts an endpoint's answer; logs failures and a sample of others."""
        status = answer.head.status
        self.count(f"{status // 100}xx", now_s)
        if answer.has_failed_call:
            event, reason = "request-ended", "call-failed"
        elif answer.is_failure:
            event, reason = "request-ended", "backend-failed"
        elif self._parts.sample_served():
            event, reason = "request-served", "sample"
        else:
            return
        self._write(event, reason, f"status {status}")

    def log_repeat(self, reason: str) -> None:
        """Logs that the request is sent to another endpoint.

        Args:
            reason: Why it is repeated: "lost" or "backend-failed".
        """
        self._write("request-tried-again", reason, "")

    def _write(self, event: str, reason: str, detail: str) -> None:
        now_s = self._parts.clock.now_s()
        self._parts.events.info(
            event,
            reason=reason,
            request_id=self._request_id.decode("latin-1"),
            digest=self._digest,
            route=self._attempts.route.name,
            service=self._attempts.service,
            version=self._parts.routes.version,
            share=round(
                self._parts.entry_admission.root_admission.minimum_share, 3
            ),
            tried=list(self._attempts.tried_ids),
            sent=self._attempts.sent,
            elapsed_ms=round((now_s - self._began_s) * 1000),
            left_ms=round((self._deadline_s - now_s) * 1000),
            detail=detail,
        )
