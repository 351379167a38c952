"""The command log that a quorum of control instances replicates."""

import time
from typing import Any

import structlog
from twisted.internet import defer
from twisted.internet import task

from cranberrymux.consensus import codec as consensus_codec
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.consensus import role as role_module
from cranberrymux.control import cluster_formation
from cranberrymux.control import contacts
from cranberrymux.control import control_settings
from cranberrymux.control import member_departure
from cranberrymux.control import peer_clients
from cranberrymux.control import proposals
from cranberrymux.control import quorum_watch
from cranberrymux.control import replica_loop
from cranberrymux.control import seeded_formation
from cranberrymux.control import vouching
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire import codec
from cranberrymux.wire import wire_error

TICK_S = 0.025
_RETRY_MS = 500
_MS_PER_S = 1000


class QuorumLog:
    """Feeds a replica with ticks, peer messages and proposed commands.

    Implements `command_log.CommandLog`.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        driver: driver_module.LogDriver,
        loop: replica_loop.ReplicaLoop,
        *,
        peers: peer_clients.PeerClients,
        reactor: Any,
        lease_s: float,
        metrics: metrics_sink.MetricsSink,
    ) -> None:
        """Creates the log of an instance; `start` connects and runs it.

        Args:
            settings: The instance's settings.
            driver: The replica.
            loop: Executes the replica's actions.
            peers: Connections to the other control instances.
            reactor: The Twisted reactor to use.
            lease_s: Length of the leader lease, seconds.
            metrics: Receives commit times, the term and the role.
        """
        self._settings = settings
        self._driver = driver
        self._loop = loop
        self._peers = peers
        self._reactor = reactor
        self._metrics = metrics
        self._events = structlog.get_logger()
        self._lease_s = lease_s
        self._vouching = vouching.Vouching(lease_s)
        self._quorum_watch = quorum_watch.QuorumWatch()
        self._formation: cluster_formation.ClusterFormation = (
            cluster_formation.ClusterFormation(settings, driver, peers)
            if settings.forming is None
            else seeded_formation.SeededFormation(settings, driver, peers)
        )
        self._departure = member_departure.MemberDeparture(
            driver, self._formation, reactor
        )
        self._contacts = contacts.Contacts(
            driver,
            loop,
            peers,
            self._formation,
            self._departure,
            self._vouching,
        )
        self._ticks = task.LoopingCall(self._tick)
        self._logged_role = role_module.Role.LEARNER
        self._logged_voters: frozenset[str] = frozenset()

    def start(self) -> None:
        """Connects to the peers and starts the replica's ticks."""
        self._peers.start()
        self._ticks.clock = self._reactor
        self._ticks.start(TICK_S).addErrback(self._loop.fail_from_deferred)

    def leave(self) -> defer.Deferred[bool]:
        """Leaves the members, as an instance that is to end.

        It stays a member if too few voters would be left, or if the others do
        not remove it in time.

        Returns:
            Fires once the instance may be stopped, with whether it has left.
        """
        forming = self._settings.forming
        if forming is None or not self._ticks.running:
            return defer.succeed(False)
        return self._departure.begin(forming.leave_limit_s)

    def stop(self) -> None:
        """Stops the ticks, disconnects and closes the data folder."""
        if self._ticks.running:
            self._ticks.stop()
        self._peers.stop()
        self._loop.stop()

    async def propose(self, command: Any) -> Any:
        """Commits a command here or at the leader.

        Without a reachable leader it is rejected at once with a time after
        which to retry. A command is never sent twice.
        """
        leader = self.leader()
        if leader == self._settings.control_id:
            return await self.propose_here(command)
        client = self._peers.find(leader)
        if client is None:
            return proposals.rejected_answer(leader, _RETRY_MS)
        answer = await client.propose(command)
        if not isinstance(answer, wire_error.WireError):
            return answer
        if answer.was_sent:
            return proposals.undecided_answer(_RETRY_MS)
        return proposals.rejected_answer(leader, _RETRY_MS)

    async def take_quota(self, request: Any) -> Any:
        """Sends a `QuotaRequest` to the leader; see `CommandLog`."""
        client = self._peers.find(self.leader())
        if client is None:
            return wire_error.WireError(
                wire_error.WireErrorReason.NOT_CONNECTED, "no leader is known"
            )
        return await client.take_quota(request)

    async def propose_here(self, command: Any) -> Any:
        """Commits a command if this instance holds the leader lease."""
        now_s = replica_loop.now_s()
        if not self._leased_ms(now_s):
            return proposals.rejected_answer(self.leader(), _RETRY_MS)
        command.at_ms = int(time.time() * _MS_PER_S)
        proposed = self._driver.propose(now_s, codec.encode(command))
        if not isinstance(proposed, proposed_module.Proposed):
            return proposals.rejected_answer(self.leader(), _RETRY_MS)
        answer = self._loop.proposals.add(proposed.log_index, proposed.term)
        answer.addTimeout(
            self._settings.proposal_timeout_ms / _MS_PER_S, self._reactor
        )
        self._loop.execute(proposed.actions)
        try:
            command_answer = await answer
        except defer.TimeoutError:
            return proposals.undecided_answer(_RETRY_MS)
        commit_ms = (replica_loop.now_s() - now_s) * _MS_PER_S
        self._metrics.timing(metric.Metric.COMMIT_TIME, commit_ms)
        return command_answer

    def vouched_ms(self) -> int:
        """Returns for how long the applied state is known to be current.

        Milliseconds; 0 if it may be outdated or the storage has failed.
        """
        now_s = replica_loop.now_s()
        if self._driver.storage_error is not None:
            return 0
        if self._driver.replica.role is role_module.Role.LEADER:
            may_read = self._driver.may_read(now_s)
            return self._leased_ms(now_s) if may_read else 0
        applied_index = self._driver.replica.journal.applied_index
        return self._vouching.vouched_ms(now_s, applied_index)

    def role(self) -> str:
        """Returns the replica's role, for example `leader`."""
        return self._driver.replica.role.value

    def leader(self) -> str:
        """Returns the name of the leader; empty if none is known."""
        return replica_loop.instance_name(self._driver.replica.leader_hint)

    def leader_address(self) -> str:
        """Returns `ip:port` of the leader; empty if none is known."""
        leader = self.leader()
        if leader == self._settings.control_id:
            return self._formation.address
        return self._peers.find_address(leader)

    def term(self) -> int:
        """Returns the term of the log; no two leaders have the same."""
        return self._driver.replica.journal.term

    def addresses(self) -> tuple[str, ...]:
        """Returns `ip:port` of the control instances to tell nodes of."""
        return self._formation.told_addresses

    def report_metrics(self) -> None:
        """Sends the gauges of the term and of the leadership."""
        journal = self._driver.replica.journal
        is_leader = self._driver.replica.role is role_module.Role.LEADER
        self._metrics.gauge(metric.Metric.TERM, journal.term)
        self._metrics.gauge(metric.Metric.IS_LEADER, int(is_leader))

    def describe(self) -> dict[str, Any]:
        """Returns the log's state for operators, as JSON values."""
        status = self._driver.status(replica_loop.now_s())
        return {
            "replica_id": status.replica_id,
            "term": status.term,
            "commit_index": status.commit_index,
            "applied_index": status.applied_index,
            "durable_index": status.durable_index,
            "snapshot_index": self._driver.replica.journal.snapshot.log_index,
            "quorum_heard": status.quorum_heard,
            "silent_voters": list(status.silent_voters),
            "members": [member._asdict() for member in status.members.members],
        }

    def contact(self, contact: Any) -> Any:
        """Answers a thrift `Contact`; its sender joins or leaves if due."""
        return self._contacts.answer(contact, self._leased_ms, self.addresses())

    def deliver(self, message: Any) -> None:
        """Handles a thrift `PeerMessage` from another replica."""
        try:
            now_s = replica_loop.now_s()
            actions = self._driver.receive(now_s, message.payload)
        except invariant_error.InvariantError as error:
            self._loop.fail(error)
            return
        if isinstance(actions, consensus_codec.DecodeError):
            self._events.warning("bad-peer-message", sender=message.sender)
            return
        self._loop.execute(actions)

    def _leased_ms(self, now_s: float) -> int:
        """Returns the remaining leader lease; 0 if commands are rejected.

        A new cluster accepts commands once it has `minimum_voters` voters, by
        default a majority of the instances in the settings. Later a voter may
        be missing while it is replaced.
        """
        lease_end_s = self._driver.lease_until_s(now_s)
        voters = self._driver.replica.journal.membership.voters
        minimum_voters = self._settings.minimum_voters
        if self._loop.has_applied_commands:
            minimum_voters = self._settings.minimum_voters_in_use
        if lease_end_s is None or len(voters) < minimum_voters:
            return 0
        return max(0, int(min(lease_end_s - now_s, self._lease_s) * _MS_PER_S))

    def _tick(self) -> None:
        if self._driver.storage_error is not None:
            return
        self._loop.execute(self._driver.tick(replica_loop.now_s()))
        now_s = replica_loop.now_s()
        self._contacts.change_members(
            now_s,
            self._departure.next_own_removal()
            or self._formation.next_member_change(now_s),
        )
        self._departure.update()
        founding = self._formation.found_cluster_if_due(replica_loop.now_s())
        if founding is not None:
            self._events.info("cluster-founded")
            self._loop.execute(founding)
        self._contacts.send_due(replica_loop.now_s())
        self._log_role_change()
        self._log_voter_change()
        self._quorum_watch.update(
            replica_loop.now_s(), self.vouched_ms(), self._driver.status
        )

    def _log_role_change(self) -> None:
        role = self._driver.replica.role
        if role is self._logged_role:
            return
        self._logged_role = role
        self._events.info(
            "role-changed",
            role=role.value,
            term=self._driver.replica.journal.term,
        )

    def _log_voter_change(self) -> None:
        voters = self._driver.replica.journal.membership.voters
        if voters == self._logged_voters:
            return
        self._logged_voters = voters
        self._events.info("members-changed", voters=sorted(voters))
