"""What a request for the backend server needs of the keeper of its slots."""

from typing import Any
from typing import Protocol

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import hop


class OwnedCall(Protocol):
    """A request as the keeper of the slots knows it.

    Attributes:
        ticket_id: Its number at this node.
        request_id: Its id.
        route: Name of its route.
        standing: What is known of its tree.
    """

    ticket_id: int
    request_id: bytes
    route: str
    standing: hop.Standing


class ExitOwner(Protocol):
    """Keeps the slots of the backend server."""

    def load_of(self) -> bytes:
        """Requests that run and wait here."""

    def describe_load(self) -> dict[str, Any]:
        """Requests that run and wait, slots and failures, for a log line."""

    def call_started(self, call: OwnedCall, deadline_s: float) -> None:
        """Takes note that a request is handed over with this deadline."""

    def call_finished(
        self, call: OwnedCall, end: run_outcome.RunOutcome
    ) -> work_report.WorkReport:
        """Takes a slot back; returns what the request and its calls cost."""

    def note_outcome(self, call: OwnedCall, is_failed: bool) -> bool:
        """Takes note of how a request ended, before its slot is taken back.

        Returns:
            True if it failed because a call of it did.
        """

    def report_share(self) -> work_report.WorkReport:
        """The share of the offered work that fits here."""

    def call_left(self, ticket_id: int) -> None:
        """Takes note that a waiting request is gone."""
