"""Interface between a request at the hop port and the owner of the slots."""

from typing import Any
from typing import Protocol

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import exit_limit
from cranberrymux.gateway import exit_suspects
from cranberrymux.gateway import hop


class OwnedCall(Protocol):
    """A request, as the owner of the slots sees it.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        request_id: Its id.
        route: Name of its route.
        tree_context: What the node where its tree began says of the tree.
    """

    ticket_id: int
    request_id: bytes
    route: str
    tree_context: hop.TreeContext


class ExitOwner(Protocol):
    """Assigns the slots of the backend server and measures its requests.

    Attributes:
        limit: The rate limit of the backend server.
        suspects: Requests that may crash the backend server.
    """

    limit: exit_limit.ExitLimit
    suspects: exit_suspects.ExitSuspects

    def encode_load(self) -> bytes:
        """Encodes the load report that answers carry."""

    def describe_load(self) -> dict[str, Any]:
        """Returns the log fields of load and health."""

    def call_started(self, call: OwnedCall, deadline_s: float) -> None:
        """Records that a request is sent to the backend server.

        Args:
            call: The request.
            deadline_s: Monotonic seconds of the deadline it is sent with.
        """

    def call_finished(
        self, call: OwnedCall, outcome: run_outcome.RunOutcome
    ) -> work_report.WorkReport:
        """Frees a slot; returns the work of the request and its calls."""

    def note_outcome(self, call: OwnedCall, is_failed: bool) -> bool:
        """Records how a request ended; to be called before `call_finished`.

        Returns:
            True if it failed because one of its calls failed or is open.
        """

    def report_share(self) -> work_report.WorkReport:
        """Returns a report without work that tells the fitting share."""

    def remove_waiting(self, ticket_id: int) -> None:
        """Removes a waiting request whose sender cancelled it."""
