"""Baseline admission with a fixed limit and no queue."""

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
    "the limit of running calls is reached",
    100,
)


class FixedLimit:
    """Admits calls up to a fixed number and refuses all others."""

    level = 1 << 30
    load = 0.0

    def __init__(self, limit: int) -> None:
        """Creates an idle admission control.

        Args:
            limit: Maximum number of running calls.
        """
        self._limit = limit
        self._running: set[str] = set()

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict.Verdict:
        """Admits a new call, or refuses it if the limit is reached."""
        del now_s
        if len(self._running) >= self._limit:
            return _FULL
        self._running.add(ticket.ticket_id)
        return admitted.Admitted(0.0)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Returns False, as no call is ever queued."""
        del now_s, ticket_id
        return False

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running call."""
        del now_s, outcome, downstream_s
        self._running.discard(ticket_id)

    def poll(self, now_s: float) -> list[tuple[str, verdict.Decision]]:
        """Returns nothing, as no call is ever queued."""
        del now_s
        return []

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns None, as `poll` never has decisions."""
        del now_s
        return None

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Ignores load hints."""

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Ignores shed levels."""
