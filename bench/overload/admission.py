"""What a node asks of its admission."""

from typing import Protocol

from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict


class Admission(Protocol):
    """The messages that `AdmissionController` and the baseline take."""

    @property
    def level(self) -> int:
        """Level for the answers."""

    @property
    def load(self) -> float:
        """Load for the answers."""

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict.Verdict:
        """Decides on a new call."""

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Drops a queued call."""

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees a slot."""

    def poll(self, now_s: float) -> list[tuple[str, verdict.Decision]]:
        """Tells what became of queued calls."""

    def next_poll_s(self, now_s: float) -> float | None:
        """Tells when to poll."""

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Takes a load hint."""

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Takes the level of a deeper service."""
