"""Founds, joins and repairs a cluster whose instances know only seeds."""

from collections.abc import Iterable

from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import departure
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import founding
from cranberrymux.consensus import member_change
from cranberrymux.consensus import role as role_module
from cranberrymux.consensus import silent_voter_removal
from cranberrymux.control import cluster_formation
from cranberrymux.control import control_settings
from cranberrymux.control import formation_settings
from cranberrymux.control import peer
from cranberrymux.control import peer_clients


class SeededFormation(cluster_formation.ClusterFormation):
    """Adds every instance that makes contact and removes silent voters.

    One named instance founds the cluster, and only during the first start of
    the whole system, so an instance with an empty disk never founds a second
    cluster. Every instance that makes contact becomes a voter once it has
    caught up.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        driver: driver_module.LogDriver,
        peers: peer_clients.PeerClients,
    ) -> None:
        """Like the base class; `settings.forming` must be set."""
        super().__init__(settings, driver, peers)
        assert settings.forming is not None
        self._forming: formation_settings.FormationSettings = settings.forming

    @property
    def told_addresses(self) -> tuple[str, ...]:
        """`ip:port` of this instance and of those that are there.

        One that is neither connected nor a member may be gone for good.
        """
        member_names = self._member_names()
        return (
            *(
                self._peers.find_address(name)
                for name in self._peers.names
                if name in member_names or self._peers.is_connected(name)
            ),
            self._address,
        )

    def learn_addresses(self, addresses: Iterable[str]) -> None:
        """Connects to the instances at these `ip:port` not known yet."""
        for address in addresses:
            instance = peer.parse_address(address)
            if instance is not None:
                self._peers.add(instance)

    def next_contacts(self, now_s: float) -> tuple[str, ...]:
        """Like the base class; first updates which instances are known."""
        if now_s >= self._next_contact_s:
            members = self._driver.replica.journal.membership
            self.learn_addresses(member.address for member in members.members)
            self._peers.forget_unreachable(now_s, self._member_names())
        return super().next_contacts(now_s)

    def found_cluster_if_due(
        self, now_s: float
    ) -> actions_module.Actions | None:
        """Founds the cluster if this is the founder's first start."""
        may_found_cluster = founding.may_found_cluster(
            self._driver.replica,
            self._settings.control_id,
            self._forming.founder,
            self._forming.is_first_start,
        )
        return self._found_cluster(now_s) if may_found_cluster else None

    def add_learner(
        self, now_s: float, replica_id: str, address: str
    ) -> actions_module.Actions | None:
        """Proposes to add a replica of any known name, if this one leads."""
        if self._driver.replica.role is not role_module.Role.LEADER:
            return None
        return super().add_learner(now_s, replica_id, address)

    def must_stay(self) -> bool:
        """Returns whether too few members would be left without this one."""
        replica = self._driver.replica
        return departure.must_stay(
            replica, replica.replica_id, self._forming.minimum_voters
        )

    def next_removal(
        self, leaving_id: str
    ) -> member_change.MemberChange | None:
        """Returns the removal of a replica that ends, if it may leave now."""
        return departure.next_removal(
            self._driver.replica, leaving_id, self._forming.minimum_voters
        )

    def next_member_change(
        self, now_s: float
    ) -> member_change.MemberChange | None:
        """Returns the membership change that is due; None if not leading.

        The removal of a silent voter comes after every other change.
        """
        due = super().next_member_change(now_s)
        if due is not None:
            return due
        return silent_voter_removal.next_removal(
            self._driver.replica,
            now_s,
            self._forming.minimum_voters,
            silent_s=self._forming.silent_voter_s,
            surplus_silent_s=self._forming.surplus_silent_s,
        )

    def _member_names(self) -> frozenset[str]:
        members = self._driver.replica.journal.membership
        return frozenset(member.name for member in members.members)
