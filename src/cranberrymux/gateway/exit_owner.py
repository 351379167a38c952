"""Interface between a request at the hop port and the owner of the slots."""

from typing import Any
from typing import Protocol

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import hop
from cranberrymux.models import backend_process
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module


class OwnedCall(Protocol):
    """A request, as the owner of the slots sees it.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        request_id: Its id.
        route: Name of its route.
        tree_context: What the node where its tree began says of the tree.
        process: The process of the backend server that it is sent to.
    """

    ticket_id: int
    request_id: bytes
    route: str
    tree_context: hop.TreeContext
    process: backend_process.BackendProcess


class ExitOwner(Protocol):
    """Assigns the slots of the backend server and measures its requests."""

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

    def note_answer_head(
        self, call: OwnedCall, head: answer_head.AnswerHead, sent_s: float
    ) -> None:
        """Learns from an answer that the backend server gave to a request.

        Args:
            call: The request.
            head: Head of the answer.
            sent_s: Monotonic seconds at which the request was sent.
        """

    def encode_self_report(self) -> headers_module.HeaderList:
        """Encodes what the backend server says of itself, for answers."""

    def remove_waiting(self, ticket_id: int) -> None:
        """Removes a waiting request whose sender cancelled it."""
