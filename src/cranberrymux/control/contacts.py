"""Contacts between control instances: joining, leaving and vouching."""

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.control import cluster_formation
from cranberrymux.control import member_departure
from cranberrymux.control import peer_clients
from cranberrymux.control import replica_loop
from cranberrymux.control import vouching
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes


class Contacts:
    """Sends this instance's contacts and answers those of the others."""

    def __init__(
        self,
        driver: driver_module.LogDriver,
        loop: replica_loop.ReplicaLoop,
        peers: peer_clients.PeerClients,
        formation: cluster_formation.ClusterFormation,
        departure: member_departure.MemberDeparture,
        vouched: vouching.Vouching,
    ) -> None:
        """Creates the contacts of an instance.

        Args:
            driver: The replica.
            loop: Executes the replica's actions.
            peers: Connections to the other control instances.
            formation: Decides whom to contact and whom to add.
            departure: Knows whether this instance is to leave.
            vouched: Receives the leader's answers.
        """
        self._driver = driver
        self._loop = loop
        self._peers = peers
        self._formation = formation
        self._departure = departure
        self._vouching = vouched
        self._events = structlog.get_logger()

    def send_due(self, now_s: float) -> None:
        """Sends the contacts that are due now."""
        for name in self._formation.next_contacts(now_s):
            defer.ensureDeferred(self._contact(name))

    def answer(
        self,
        contact: Any,
        read_leased_ms: Callable[[float], int],
        addresses: tuple[str, ...],
    ) -> Any:
        """Adds the sender of a `Contact`, or removes it if it is leaving.

        Args:
            contact: The thrift `Contact`.
            read_leased_ms: Returns the rest of the leader lease at a time.
            addresses: `ip:port` of the control instances to tell of.

        Returns:
            The thrift `ContactAnswer`.
        """
        now_s = replica_loop.now_s()
        if contact.is_leaving:
            self.change_members(
                now_s, self._formation.next_removal(contact.replica_id)
            )
        else:
            self._formation.learn_addresses((contact.address,))
            self._add(now_s, contact)
        journal = self._driver.replica.journal
        return ttypes.ContactAnswer(
            replica_id=self._driver.replica.replica_id,
            cluster_id=journal.membership.cluster_id,
            commit_index=journal.commit_index,
            vouched_ms=read_leased_ms(now_s),
            control_instances=list(addresses),
            has_left=self._departure.has_left(contact.replica_id),
        )

    def change_members(
        self, now_s: float, change: member_change.MemberChange | None
    ) -> None:
        """Proposes a change of the members; None is no change."""
        if change is None:
            return
        result = self._driver.change_members(now_s, change)
        if isinstance(result, proposed_module.Proposed):
            self._events.info(
                "members-change",
                kind=change.kind.value,
                replica_id=change.replica_id,
            )
            self._loop.execute(result.actions)

    def _add(self, now_s: float, contact: Any) -> None:
        added = self._formation.add_learner(
            now_s, contact.replica_id, contact.address
        )
        if added is not None:
            self._events.info("replica-joins", replica_id=contact.replica_id)
            self._loop.execute(added)

    async def _contact(self, name: str) -> None:
        client = self._peers.find(name)
        if client is None or not client.is_connected:
            return
        asked_s = replica_loop.now_s()
        answer = await client.contact(
            self._formation.make_contact(self._departure.is_under_way)
        )
        if isinstance(answer, wire_error.WireError):
            return
        self._formation.note_contact_answer(name, asked_s, answer.cluster_id)
        self._formation.learn_addresses(answer.control_instances or ())
        own_cluster_id = self._driver.replica.journal.membership.cluster_id
        if answer.cluster_id != own_cluster_id:
            return
        if answer.vouched_ms > 0:
            self._vouching.note_answer(asked_s, answer.commit_index)
        if answer.has_left:
            self._departure.end(True)
