"""The baseline's admission: a fixed limit and no queue."""

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_FULL = refusal.Refusal(
    answer_kind.AnswerKind.NOT_RUN,
    refusal_reason.RefusalReason.OVERLOADED,
    "limit reached",
    100,
)


class FixedLimit:
    """Takes the same messages as `AdmissionController`."""

    level = 1 << 30
    load = 0.0

    def __init__(self, limit: int) -> None:
        """Keeps the limit."""
        self._limit = limit
        self._running: set[str] = set()

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict.Verdict:
        """Admits up to the limit."""
        del now_s
        if len(self._running) >= self._limit:
            return _FULL
        self._running.add(ticket.ticket_id)
        return admitted.Admitted(0.0)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Knows no queue."""
        del now_s, ticket_id
        return False

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees the slot."""
        del now_s, outcome, downstream_s
        self._running.discard(ticket_id)

    def poll(self, now_s: float) -> list[tuple[str, verdict.Decision]]:
        """Has nothing to tell."""
        del now_s
        return []

    def next_poll_s(self, now_s: float) -> float | None:
        """Never."""
        del now_s
        return None

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Ignores hints."""

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Ignores levels."""
