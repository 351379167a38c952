"""How control instances that know only seeds form and keep a cluster."""

from collections.abc import Iterable

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import founding
from cranberrymux.consensus import member_change
from cranberrymux.consensus import role as role_module
from cranberrymux.consensus import silent_voter_removal
from cranberrymux.control import control_settings
from cranberrymux.control import forming as forming_module
from cranberrymux.control import joining
from cranberrymux.control import peer
from cranberrymux.control import peer_clients


class SeededJoining(joining.Joining):
    """Founds at the first start, adds whoever comes, removes the silent.

    The cluster is founded by one named instance, and only at the first start
    of the whole system, so an instance with an empty disk never founds a
    second one. Every instance that introduces itself becomes a voter once it
    has caught up.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        driver: driver_module.LogDriver,
        peers: peer_clients.PeerClients,
    ) -> None:
        """Keeps the parts."""
        super().__init__(settings, driver, peers)
        assert settings.forming is not None
        self._forming: forming_module.Forming = settings.forming

    def learn(self, addresses: Iterable[str]) -> None:
        """Connects to instances that were not known."""
        for address in addresses:
            found = peer.at_address(address)
            if found is not None:
                self._peers.learn(found)

    def next_contacts(self, now_s: float) -> tuple[str, ...]:
        """Names of the instances to contact now.

        A replica that knows no leader contacts all: it may have been removed
        while it was away.
        """
        if now_s < self._next_contact_s:
            return ()
        replica = self._driver.replica
        members = replica.journal.members
        self.learn(one.address for one in members.members)
        is_lost = not replica.leader_hint or not members.find(
            replica.replica_id
        )
        if is_lost and replica.role is not role_module.Role.LEADER:
            self._next_contact_s = now_s + joining.CONTACT_S
            return self._peers.names
        return super().next_contacts(now_s)

    def found_if_all_are_new(
        self, now_s: float
    ) -> driver_module.Actions | None:
        """Founds a cluster at the first start of all."""
        may_found = founding.may_found_cluster(
            self._driver.replica,
            self._settings.control_id,
            self._forming.founder,
            self._forming.is_first_start,
        )
        return self._found(now_s) if may_found else None

    def add_learner(
        self, now_s: float, replica_id: str, address: str
    ) -> driver_module.Actions | None:
        """Adds a replica that is not a member yet."""
        if self._driver.replica.role is not role_module.Role.LEADER:
            return None
        return super().add_learner(now_s, replica_id, address)

    def due_change(self, now_s: float) -> member_change.MemberChange | None:
        """The next change of members that is due, if this one leads."""
        due = super().due_change(now_s)
        if due is not None:
            return due
        return silent_voter_removal.next_removal(
            self._driver.replica,
            now_s,
            self._forming.minimum_voters,
            self._forming.silent_voter_s,
        )
