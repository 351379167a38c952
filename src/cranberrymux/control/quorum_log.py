"""The log of commands, replicated over the control instances."""

import time
from typing import Any

import structlog
from twisted.internet import defer
from twisted.internet import task

from cranberrymux.consensus import codec as consensus_codec
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import role as role_module
from cranberrymux.control import control_settings
from cranberrymux.control import joining
from cranberrymux.control import peer_clients
from cranberrymux.control import proposals
from cranberrymux.control import replica_loop
from cranberrymux.control import seeded_joining
from cranberrymux.control import vouching
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire import codec
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

TICK_S = 0.025
_RETRY_MS = 500
_MS_PER_S = 1000


class QuorumLog:
    """Drives a replica by its clock, peers and callers."""

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
        """Keeps the parts; `start` sets them going.

        Args:
            settings: The instance's settings.
            driver: The replica.
            loop: Carries out what the replica asks for.
            peers: Connections to the other control instances.
            reactor: The reactor to use.
            lease_s: Leader lease of the replicated log.
            metrics: Takes metrics.
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
        self._joining: joining.Joining = (
            joining.Joining(settings, driver, peers)
            if settings.forming is None
            else seeded_joining.SeededJoining(settings, driver, peers)
        )
        self._ticking = task.LoopingCall(self._tick)
        self._seen_role = role_module.Role.LEARNER
        self._seen_voters: frozenset[str] = frozenset()

    def start(self) -> None:
        """Connects to the peers and starts the clock."""
        self._peers.start()
        self._ticking.clock = self._reactor
        self._ticking.start(TICK_S).addErrback(self._loop.fail_for)

    def stop(self) -> None:
        """Stops the clock and gives the folder back."""
        if self._ticking.running:
            self._ticking.stop()
        self._peers.stop()
        self._loop.stop()

    async def propose(self, command: Any) -> Any:
        """Commits a command, here or at the leader.

        With no leader in reach it is refused at once, with a time to come
        back; it is never sent twice.
        """
        leader = self.leader()
        if leader == self._settings.control_id:
            return await self.propose_here(command)
        client = self._peers.find(leader)
        if client is None:
            return proposals.reject(leader, _RETRY_MS)
        answer = await client.propose(command)
        if not isinstance(answer, wire_error.WireError):
            return answer
        if answer.was_sent:
            return proposals.leave_open(_RETRY_MS)
        return proposals.reject(leader, _RETRY_MS)

    async def propose_here(self, command: Any) -> Any:
        """Commits a command if this instance leads and holds its lease."""
        now_s = replica_loop.now_s()
        if not self._leased_ms(now_s):
            return proposals.reject(self.leader(), _RETRY_MS)
        command.at_ms = int(time.time() * _MS_PER_S)
        taken = self._driver.propose(now_s, codec.encode(command))
        if not isinstance(taken, driver_module.Proposed):
            return proposals.reject(self.leader(), _RETRY_MS)
        answer = self._loop.proposals.add(taken.log_index, taken.term)
        answer.addTimeout(
            self._settings.proposal_timeout_ms / _MS_PER_S, self._reactor
        )
        self._loop.act(taken.actions)
        try:
            committed = await answer
        except defer.TimeoutError:
            return proposals.leave_open(_RETRY_MS)
        taken_ms = (replica_loop.now_s() - now_s) * _MS_PER_S
        self._metrics.timing(metric.Metric.COMMIT_TIME, taken_ms)
        return committed

    def vouched_ms(self) -> int:
        """How long this instance vouches for its state."""
        now_s = replica_loop.now_s()
        if self._driver.storage_error is not None:
            return 0
        if self._driver.replica.role is role_module.Role.LEADER:
            may_read = self._driver.may_read(now_s)
            return self._leased_ms(now_s) if may_read else 0
        applied_index = self._driver.replica.journal.applied_index
        return self._vouching.vouched_ms(now_s, applied_index)

    def role(self) -> str:
        """The replica's role."""
        return self._driver.replica.role.value

    def leader(self) -> str:
        """Name of the leader; empty if none is known."""
        return replica_loop.name_of(self._driver.replica.leader_hint)

    def addresses(self) -> tuple[str, ...]:
        """`ip:port` of the control instances that are known, and this one."""
        return (*self._peers.addresses, self._joining.address)

    def report_metrics(self) -> None:
        """Sends the gauges."""
        journal = self._driver.replica.journal
        is_leader = self._driver.replica.role is role_module.Role.LEADER
        self._metrics.gauge(metric.Metric.TERM, journal.term)
        self._metrics.gauge(metric.Metric.IS_LEADER, int(is_leader))

    def describe(self) -> dict[str, Any]:
        """What operators want to know of the log, as JSON values."""
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
            "members": [one._asdict() for one in status.members.members],
        }

    def contact(self, contact: Any) -> Any:
        """Answers another control instance that tells who it is."""
        now_s = replica_loop.now_s()
        self._joining.learn((contact.address,))
        added = self._joining.add_learner(
            now_s, contact.replica_id, contact.address
        )
        if added is not None:
            self._events.info("replica-joins", replica_id=contact.replica_id)
            self._loop.act(added)
        journal = self._driver.replica.journal
        return ttypes.ContactAnswer(
            replica_id=self._driver.replica.replica_id,
            cluster_id=journal.members.cluster_id,
            commit_index=journal.commit_index,
            vouched_ms=self._leased_ms(now_s),
            control_instances=list(self.addresses()),
        )

    def deliver(self, message: Any) -> None:
        """Takes a message of another replica."""
        try:
            now_s = replica_loop.now_s()
            actions = self._driver.receive(now_s, message.payload)
        except invariant_error.InvariantError as error:
            self._loop.fail(error)
            return
        if isinstance(actions, consensus_codec.DecodeError):
            self._events.warning("bad-peer-message", sender=message.sender)
            return
        self._loop.act(actions)

    def _leased_ms(self, now_s: float) -> int:
        """What is left of the leader lease; 0 if commands are refused.

        A young cluster takes commands once its voters are a majority of the
        instances in the settings.
        """
        until_s = self._driver.lease_until_s(now_s)
        voters = self._driver.replica.journal.members.voters
        if until_s is None or len(voters) < self._settings.minimum_voters:
            return 0
        return max(0, int(min(until_s - now_s, self._lease_s) * _MS_PER_S))

    def _tick(self) -> None:
        if self._driver.storage_error is not None:
            return
        self._loop.act(self._driver.tick(replica_loop.now_s()))
        change = self._joining.due_change(replica_loop.now_s())
        if change is not None:
            taken = self._driver.change_members(replica_loop.now_s(), change)
            if isinstance(taken, driver_module.Proposed):
                self._events.info(
                    "members-change",
                    kind=change.kind.value,
                    replica_id=change.replica_id,
                )
                self._loop.act(taken.actions)
        founded = self._joining.found_if_all_are_new(replica_loop.now_s())
        if founded is not None:
            self._events.info("cluster-founded")
            self._loop.act(founded)
        for name in self._joining.next_contacts(replica_loop.now_s()):
            defer.ensureDeferred(self._contact(name))
        self._report_role()
        self._report_members()

    async def _contact(self, name: str) -> None:
        client = self._peers.find(name)
        if client is None or not client.is_connected:
            return
        asked_s = replica_loop.now_s()
        answer = await client.contact(self._joining.introduction())
        if isinstance(answer, wire_error.WireError):
            return
        self._joining.note_answer(name, asked_s, answer.cluster_id)
        self._joining.learn(answer.control_instances or ())
        own = self._driver.replica.journal.members.cluster_id
        if answer.vouched_ms > 0 and answer.cluster_id == own:
            self._vouching.note_answer(asked_s, answer.commit_index)

    def _report_role(self) -> None:
        role = self._driver.replica.role
        if role is self._seen_role:
            return
        self._seen_role = role
        self._events.info(
            "role-changed",
            role=role.value,
            term=self._driver.replica.journal.term,
        )

    def _report_members(self) -> None:
        voters = self._driver.replica.journal.members.voters
        if voters == self._seen_voters:
            return
        self._seen_voters = voters
        self._events.info("members-changed", voters=sorted(voters))
