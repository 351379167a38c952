"""What is counted and written down of one request that began here."""

from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import tries as tries_module


class RequestLog:
    """Counts how a request ended; a line tells of each that went wrong."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        tries: tries_module.Tries,
        request_id: bytes,
        began_s: float,
        deadline_s: float,
    ) -> None:
        """Keeps what every line tells.

        Args:
            parts: The gateway's parts.
            tries: Its tries.
            request_id: Its id.
            began_s: When it came.
            deadline_s: When its caller gives up.
        """
        self._parts = parts
        self._tries = tries
        self._request_id = request_id
        self._began_s = began_s
        self._deadline_s = deadline_s

    def count(self, outcome: str) -> None:
        """Counts the request under its outcome."""
        elapsed_s = self._parts.clock.now_s() - self._began_s
        meters = self._parts.meters
        route = self._tries.route.name
        meters.requests.labels(route, outcome).inc()
        meters.request_s.labels(route).observe(elapsed_s)

    def tell(self, outcome: own_answers.Outcome, detail: str) -> None:
        """Counts the request and writes its line."""
        self.count(outcome.value)
        now_s = self._parts.clock.now_s()
        self._parts.events.info(
            "request-ended",
            reason=outcome.value,
            request_id=self._request_id.decode("latin-1"),
            route=self._tries.route.name,
            service=self._tries.service,
            version=self._parts.routes.version,
            share=round(self._parts.callers.admission.least_share, 3),
            tried=list(self._tries.asked),
            sent=self._tries.sent,
            elapsed_ms=round((now_s - self._began_s) * 1000),
            left_ms=round((self._deadline_s - now_s) * 1000),
            detail=detail,
        )
