"""Founds and joins a cluster whose instances are all in the settings."""

from collections.abc import Iterable
from typing import Any
import uuid

from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import member_rules
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.consensus import role as role_module
from cranberrymux.control import control_settings
from cranberrymux.control import peer_clients
from cranberrymux.wire.gen.messages import ttypes

CONTACT_S = 0.15
_EMPTY_ANSWER_VALID_S = 1.0
# Time without a message after which a leader checks its connection to a member.
_SILENT_S = 0.5


class ClusterFormation:
    """Decides when to found a cluster, whom to contact and whom to add.

    The first instance in `peers` founds the cluster, and only while every
    other control instance answers that it holds no log. An instance that lost
    its disk therefore never founds a second cluster next to the first.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        driver: driver_module.LogDriver,
        peers: peer_clients.PeerClients,
    ) -> None:
        """Looks up this instance's own address in the settings.

        Args:
            settings: The instance's settings; `peers` contains the instance.
            driver: This instance's replica.
            peers: Connections to the other control instances.
        """
        self._settings = settings
        self._driver = driver
        self._peers = peers
        own = next(
            peer
            for peer in settings.peers
            if peer.control_id == settings.control_id
        )
        self._address = f"{own.address}:{own.port}"
        self._empty_at_s: dict[str, float] = {}
        self._next_contact_s = 0.0

    @property
    def address(self) -> str:
        """`ip:port` of this instance."""
        return self._address

    @property
    def told_addresses(self) -> tuple[str, ...]:
        """`ip:port` of the instances to tell nodes and other instances of."""
        return (*self._peers.addresses, self._address)

    def learn_addresses(self, addresses: Iterable[str]) -> None:
        """Ignores the addresses; the settings list every instance."""

    def next_member_change(
        self, now_s: float
    ) -> member_change.MemberChange | None:
        """Returns the membership change that is due; None if not leading."""
        return self._driver.next_member_change(now_s)

    def make_contact(self, is_leaving: bool) -> Any:
        """Returns the thrift `Contact` with this instance's id and address."""
        return ttypes.Contact(
            replica_id=self._driver.replica.replica_id,
            address=self._address,
            is_leaving=is_leaving,
        )

    def must_stay(self) -> bool:
        """Returns True; the settings list every instance as a member."""
        return True

    def next_removal(
        self, leaving_id: str
    ) -> member_change.MemberChange | None:
        """Returns None; the settings list every instance as a member."""
        del leaving_id
        return None

    def note_contact_answer(
        self, name: str, asked_s: float, cluster_id: str
    ) -> None:
        """Records another instance's answer to a `Contact`.

        Args:
            name: Name of the instance that answered.
            asked_s: When the contact was sent, on the driver's clock.
            cluster_id: Cluster of the instance; empty if it holds no log.
        """
        if cluster_id:
            self._empty_at_s.pop(name, None)
        else:
            self._empty_at_s[name] = asked_s

    def next_contacts(self, now_s: float) -> tuple[str, ...]:
        """Returns the names of the instances to contact now.

        A leader contacts the members that are silent: its messages to them have
        no answer on the same connection, and a contact that times out ends a
        connection that went silent. A replica that is not a member or knows no
        leader contacts all others, another one only its leader. Between two
        contacts the result is empty.
        """
        if now_s < self._next_contact_s:
            return ()
        self._next_contact_s = now_s + CONTACT_S
        replica = self._driver.replica
        if replica.role is role_module.Role.LEADER:
            return self._silent_names(now_s)
        leader = replica.leader_hint.partition("@")[0]
        is_member = replica.journal.membership.find(replica.replica_id)
        if not leader or is_member is None:
            return self._peers.names
        return (leader,)

    def _silent_names(self, now_s: float) -> tuple[str, ...]:
        replica = self._driver.replica
        silent_ids = (
            *replica.silent_voters(now_s, _SILENT_S),
            *replica.silent_learners(now_s, _SILENT_S),
        )
        names = (silent_id.partition("@")[0] for silent_id in silent_ids)
        return tuple(dict.fromkeys(names))

    def found_cluster_if_due(
        self, now_s: float
    ) -> actions_module.Actions | None:
        """Founds the cluster if no instance holds a log; None if not."""
        replica = self._driver.replica
        if self._settings.peers[0].control_id != self._settings.control_id:
            return None
        if not member_rules.may_found(replica.journal):
            return None
        for name in self._peers.names:
            if (
                now_s - self._empty_at_s.get(name, -_EMPTY_ANSWER_VALID_S)
                > _EMPTY_ANSWER_VALID_S
            ):
                return None
        return self._found_cluster(now_s)

    def _found_cluster(self, now_s: float) -> actions_module.Actions | None:
        result = self._driver.found_cluster(
            now_s, uuid.uuid4().hex, self._address
        )
        return result if isinstance(result, actions_module.Actions) else None

    def add_learner(
        self, now_s: float, replica_id: str, address: str
    ) -> actions_module.Actions | None:
        """Proposes to add a replica of a configured instance as a learner.

        Returns:
            What the caller must do; None if the name is not in the settings,
            the replica is a member already, or the proposal was refused.
        """
        name = replica_id.partition("@")[0]
        if name not in self._peers.names:
            return None
        if self._driver.replica.journal.membership.find(replica_id) is not None:
            return None
        result = self._driver.change_members(
            now_s,
            member_change.MemberChange(
                member_change.ChangeKind.ADD_LEARNER, replica_id, address
            ),
        )
        if isinstance(result, proposed_module.Proposed):
            return result.actions
        return None
