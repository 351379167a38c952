"""Interface between a request at the hop port and the owner of the slots."""

from typing import Protocol

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.gateway import exit_limit
from cranberrymux.gateway import exit_suspects
from cranberrymux.gateway import exit_work
from cranberrymux.gateway import owned_call
from cranberrymux.node import deadline_table


class ExitOwner(Protocol):
    """Assigns the slots of the backend server and measures its requests.

    Attributes:
        deadlines: Calls requests back whose caller has given up.
        limit: The rate limit of the backend server.
        suspects: Requests that may crash the backend server.
        work: What the requests cost.
    """

    deadlines: deadline_table.DeadlineTable
    limit: exit_limit.ExitLimit
    suspects: exit_suspects.ExitSuspects
    work: exit_work.ExitWork

    def call_finished(
        self,
        call: owned_call.OwnedCall,
        outcome: run_outcome.RunOutcome,
        now_s: float,
    ) -> bytes:
        """Frees a slot; returns the encoded work of the request and its calls.

        It is empty if the request has ended before.
        """

    def remove_waiting(self, ticket_id: int) -> None:
        """Removes a waiting request whose sender cancelled it."""
