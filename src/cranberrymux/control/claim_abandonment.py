"""Abandons the claims of nodes that have ended."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.control import command_log
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.decisions.directory import node_table
from cranberrymux.wire.gen.messages import ttypes


class ClaimAbandonment:
    """Finds out whether the owner of a claim has ended, and commits that."""

    def __init__(
        self,
        machine: state_machine.StateMachine,
        log: command_log.CommandLog,
        directory: endpoint_table.EndpointTable,
        nodes: node_table.NodeTable,
        end_leases: Callable[[], None],
        now_s: Callable[[], float],
    ) -> None:
        """Keeps what it reads and the log.

        Args:
            machine: The replicated state; only read here.
            log: Commits commands.
            directory: Endpoints that the nodes announced.
            nodes: Nodes that sent heartbeats.
            end_leases: Ends the leases that have expired.
            now_s: Monotonic clock.
        """
        self._machine = machine
        self._log = log
        self._directory = directory
        self._nodes = nodes
        self._end_leases = end_leases
        self._now_s = now_s
        self._events = structlog.get_logger()

    async def abandon_if_owner_ended(self, request: Any) -> None:
        """Abandons the call's running claim if its owner has ended.

        The claim's outcome is then unknown and the call is not granted again.

        Args:
            request: A `ClaimRequest` for the call.
        """
        key = (request.request_id, request.call_id)
        entry = self._machine.claims.find(key)
        if entry is None or entry.state is not claim_entry.ClaimState.RUNNING:
            return
        owner = entry.claim.owner
        incarnation = entry.claim.owner_incarnation
        if not self._has_ended(owner, incarnation):
            return
        self._events.warning(
            "claim-abandoned",
            request_id=request.request_id,
            call_id=request.call_id,
            owner=owner,
        )
        abandon = ttypes.AbandonRequest(
            request_id=request.request_id,
            call_id=request.call_id,
            owner=owner,
            owner_incarnation=incarnation,
        )
        await self._log.propose_here(ttypes.Command(at_ms=0, abandon=abandon))

    def _has_ended(self, owner: str, incarnation: int) -> bool:
        """True if a claim's owner restarted or its lease ended.

        An ended lease counts only once the directory is complete: before that,
        the owner's heartbeats may just not have arrived yet.
        """
        if self._nodes.is_replaced(owner, incarnation):
            return True
        self._end_leases()
        now_s = self._now_s()
        if not self._directory.is_complete(now_s):
            return False
        return self._nodes.is_expired(owner, incarnation, now_s)
