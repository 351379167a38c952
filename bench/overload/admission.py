"""Interface of the admission control of a simulated node."""

from typing import Protocol

from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict


class Admission(Protocol):
    """Methods of `AdmissionController` that the baselines have as well."""

    @property
    def level(self) -> int:
        """Shed level in answers; higher priority numbers are refused."""

    @property
    def load(self) -> float:
        """Load in answers, 0.0 to 1.0."""

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict.Verdict:
        """Admits, queues or refuses a new call."""

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Removes a call; returns False if it was not queued."""

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running call.

        Args:
            now_s: Virtual seconds.
            ticket_id: Id of the call.
            outcome: How the call ended.
            downstream_s: Seconds that the call waited for downstream calls.
        """

    def poll(self, now_s: float) -> list[tuple[str, verdict.Decision]]:
        """Returns the queued calls that start or are refused now."""

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns when `poll` must be called next; None if nothing is due."""

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Records the load, 0.0 to 1.0, that the backend server reports."""

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Records the shed level of a downstream service."""
