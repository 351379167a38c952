"""How control instances found a cluster and join it."""

from collections.abc import Iterable
from typing import Any
import uuid

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import member_rules
from cranberrymux.control import control_settings
from cranberrymux.control import peer_clients
from cranberrymux.wire.gen.messages import ttypes

CONTACT_S = 0.15
_FRESH_S = 1.0


class Joining:
    """Decides when to found, whom to contact and whom to add.

    A cluster is founded by the first of `peers`, and only while every other
    control instance answers that it holds no log. So an instance whose disk
    was lost never founds a second cluster beside one that is left.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        driver: driver_module.LogDriver,
        peers: peer_clients.PeerClients,
    ) -> None:
        """Keeps the parts."""
        self._settings = settings
        self._driver = driver
        self._peers = peers
        own = next(
            one
            for one in settings.peers
            if one.control_id == settings.control_id
        )
        self._address = f"{own.address}:{own.port}"
        self._empty_at_s: dict[str, float] = {}
        self._next_contact_s = 0.0

    @property
    def address(self) -> str:
        """`ip:port` of this instance."""
        return self._address

    def learn(self, addresses: Iterable[str]) -> None:
        """Takes addresses of instances; here `peers` holds them all."""

    def due_change(self, now_s: float) -> member_change.MemberChange | None:
        """The next change of members that is due, if this one leads."""
        return self._driver.due_change(now_s)

    def introduction(self) -> Any:
        """Returns this instance's `Contact`."""
        return ttypes.Contact(
            replica_id=self._driver.replica.replica_id, address=self._address
        )

    def note_answer(self, name: str, asked_s: float, cluster_id: str) -> None:
        """Takes another instance's answer to a contact."""
        if cluster_id:
            self._empty_at_s.pop(name, None)
        else:
            self._empty_at_s[name] = asked_s

    def next_contacts(self, now_s: float) -> tuple[str, ...]:
        """Names of the instances to contact now.

        All the others for a replica that is no member, the leader for one
        that is.
        """
        if now_s < self._next_contact_s:
            return ()
        self._next_contact_s = now_s + CONTACT_S
        replica = self._driver.replica
        if replica.journal.members.find(replica.replica_id) is None:
            return self._peers.names
        leader = replica.leader_hint.partition("@")[0]
        if leader in ("", self._settings.control_id):
            return ()
        return (leader,)

    def found_if_all_are_new(
        self, now_s: float
    ) -> driver_module.Actions | None:
        """Founds a cluster if no instance holds a log."""
        replica = self._driver.replica
        if self._settings.peers[0].control_id != self._settings.control_id:
            return None
        if not member_rules.holds_no_log_or_vote(replica.journal):
            return None
        for name in self._peers.names:
            if now_s - self._empty_at_s.get(name, -_FRESH_S) > _FRESH_S:
                return None
        return self._found(now_s)

    def _found(self, now_s: float) -> driver_module.Actions | None:
        result = self._driver.found(now_s, uuid.uuid4().hex, self._address)
        return result if isinstance(result, driver_module.Actions) else None

    def add_learner(
        self, now_s: float, replica_id: str, address: str
    ) -> driver_module.Actions | None:
        """Adds a replica of a known name that is not a member yet."""
        name = replica_id.partition("@")[0]
        if name not in self._peers.names:
            return None
        if self._driver.replica.journal.members.find(replica_id) is not None:
            return None
        taken = self._driver.change_members(
            now_s,
            member_change.MemberChange(
                member_change.ChangeKind.ADD_LEARNER, replica_id, address
            ),
        )
        if isinstance(taken, driver_module.Proposed):
            return taken.actions
        return None
