"""Takes a control instance that ends out of the membership first."""

from typing import Any

from twisted.internet import defer

from cranberrymux.consensus import departure
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import role as role_module
from cranberrymux.control import cluster_formation


class MemberDeparture:
    """Waits until the membership without this instance is committed.

    A voter that has ended counts for the quorum until it is removed. While it
    does, the loss of one more disk can leave too few voters for good.
    """

    def __init__(
        self,
        driver: driver_module.LogDriver,
        formation: cluster_formation.ClusterFormation,
        reactor: Any,
    ) -> None:
        """Creates the state of an instance that does not end yet.

        Args:
            driver: The replica.
            formation: Decides whether an instance may leave.
            reactor: The Twisted reactor to use.
        """
        self._driver = driver
        self._formation = formation
        self._reactor = reactor
        self._limit: Any = None
        self._ended: defer.Deferred[bool] | None = None
        self._has_led = False

    @property
    def is_under_way(self) -> bool:
        """Whether this instance is about to leave."""
        return self._ended is not None

    def begin(self, limit_s: float) -> defer.Deferred[bool]:
        """Starts to leave, unless this instance has to stay a member.

        Args:
            limit_s: Time after which it ends without having left, seconds.

        Returns:
            Fires once the instance may end, with whether it has left.
        """
        ended: defer.Deferred[bool] = defer.Deferred()
        self._ended = ended
        self._limit = self._reactor.callLater(limit_s, self.end, False)
        self.update()
        return ended

    def update(self) -> None:
        """Ends the wait if this instance has left or has to stay a member.

        Only one that led learns that it has left from its own log. The log of
        any other may lack the entry that added it; it waits for the leader to
        say so.
        """
        replica = self._driver.replica
        if self._has_led and departure.has_left(replica, replica.replica_id):
            self.end(True)
        elif self._formation.must_stay():
            self.end(False)

    def end(self, has_left: bool) -> None:
        """Ends the wait; does nothing if none is under way.

        Args:
            has_left: Whether the membership without this instance is committed.
        """
        ended = self._ended
        self._ended = None
        if ended is None:
            return
        if self._limit.active():
            self._limit.cancel()
        ended.callback(has_left)

    def next_own_removal(self) -> member_change.MemberChange | None:
        """Returns the removal of this instance if it leads and is to leave."""
        replica = self._driver.replica
        if not self.is_under_way or replica.role is not role_module.Role.LEADER:
            return None
        removal = self._formation.next_removal(replica.replica_id)
        if removal is not None:
            self._has_led = True
        return removal

    def has_left(self, leaving_id: str) -> bool:
        """Returns whether this instance leads members without a replica."""
        replica = self._driver.replica
        return replica.role is role_module.Role.LEADER and departure.has_left(
            replica, leaving_id
        )
