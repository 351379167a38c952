"""Simulated cluster with a faulty network on a virtual clock."""

import random

from bench import consensus_checked_cluster
from bench import consensus_checker
from bench import consensus_forming
from bench import consensus_member_changes
from bench import consensus_node
from bench import consensus_simulated_disk
from cranberrymux.consensus import effects as effects_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import messages
from cranberrymux.consensus import proposal
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings

SETTINGS = replica_settings.ReplicaSettings(
    heartbeat_s=0.05,
    lease_s=0.2,
    election_spread_s=0.2,
    snapshot_entries=15,
    retained_entries=4,
    chunk_bytes=4,
    max_append_entries=3,
    max_in_flight=2,
    promotion_lag_entries=4,
)
_TICK_S = 0.02
_POLL_INTERVAL_S = 0.1


class SimulatedCluster(consensus_checked_cluster.CheckedCluster):
    """Runs instances with simulated disks and the network between them.

    Attributes:
        loss_rate: Probability that a message is lost, 0 to 1.
        duplicate_rate: Probability that a message that is not lost is delivered
            twice, 0 to 1.
        slow_rate: Probability that a message takes 50 times or a sync 40 times
            as long, 0 to 1.
        max_sync_s: Longest time of a sync that is not slow, seconds.
        hung_disks: Names of the instances whose syncs do not complete.
        extra_delay_s: Additional delay by names of sender and recipient,
            seconds.
        cut_links: Names of sender and recipient of the links that lose every
            message.
        checks_disks: True if every commit must be durable on a quorum of the
            present disks; unset once a disk is lost or a member removed.
        committed_count: Number of committed entries.
    """

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        replica_class: type[replica_module.Replica] = replica_module.Replica,
        settings: replica_settings.ReplicaSettings = SETTINGS,
        disk_class: type[
            consensus_simulated_disk.SimulatedDisk
        ] = consensus_simulated_disk.SimulatedDisk,
    ) -> None:
        """Starts the instances and the periodic member changes.

        Args:
            seed: Seed of the generator.
            voters: Number of instances, at most 7.
            replica_class: Class of the replicas.
            settings: Settings of the replicas.
            disk_class: Class of the disks.
        """
        super().__init__(seed)
        self.loss_rate = 0.02
        self.duplicate_rate = 0.02
        self.slow_rate = 0.05
        self.max_sync_s = 0.004
        self.hung_disks: set[str] = set()
        self.extra_delay_s: dict[tuple[str, str], float] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.checks_disks = True
        self.committed_count = 0
        self._replica_class = replica_class
        self._settings = settings
        self._payload_count = 0
        drift = settings.clock_drift_ratio
        self.nodes = [
            consensus_node.Node(
                name, self.generator.uniform(1 - drift, 1 + drift), disk_class
            )
            for name in "abcdefg"[:voters]
        ]
        self._disk_class = disk_class
        self.form()
        self.after(_POLL_INTERVAL_S, self._change_members_periodically)

    def form(self) -> None:
        """Starts the instances as voters of one formed cluster."""
        consensus_forming.form(self.nodes)
        for node in self.nodes:
            self.start(node)

    def start(self, node: consensus_node.Node) -> None:
        """Starts an instance from its disk unless it is running."""
        if node.replica is not None:
            return
        node.run_number += 1
        node.applied_index = 0
        node.digest = 0
        node.replica = self._replica_class(
            self._settings,
            random.Random(self.generator.random()),
            node.disk.restore(),
            node.local_time_s(self.now_s),
        )
        self.after(
            self.generator.random() * _TICK_S, self._tick, node, node.run_number
        )

    def propose(self, node: consensus_node.Node) -> None:
        """Proposes a new unique command at an instance."""
        if node.replica is None or node.paused_until_s > self.now_s:
            return
        self._payload_count += 1
        payload = b"%d" % self._payload_count
        self.checker.record_proposal(payload)
        result = node.replica.propose(node.local_time_s(self.now_s), payload)
        if isinstance(result, proposal.Proposal):
            self._apply_effects(node, result.effects)

    def change(
        self, node: consensus_node.Node, change: member_change.MemberChange
    ) -> bool:
        """Proposes a member change and returns whether it was taken."""
        if node.replica is None:
            return False
        result = node.replica.change_members(
            node.local_time_s(self.now_s), change
        )
        if not isinstance(result, proposal.Proposal):
            return False
        self._apply_effects(node, result.effects)
        self.event_counts["member changes"] += 1
        return True

    def handle_first_commit(self, entry: entry_module.Entry) -> None:
        """Called when an entry is committed at the first replica."""

    def _change_members_periodically(self) -> None:
        self.after(_POLL_INTERVAL_S, self._change_members_periodically)
        for leader in self.leaders():
            self.change_members_at(leader)

    def change_members_at(self, leader: consensus_node.Node) -> None:
        """Proposes the next member change at a leader, if one is due."""
        consensus_member_changes.propose_next_change(
            self.nodes, leader, self.now_s, self.change
        )

    def _tick(self, node: consensus_node.Node, run: int) -> None:
        if node.run_number != run or node.replica is None:
            return
        if node.paused_until_s > self.now_s:
            self.after(node.paused_until_s - self.now_s, self._tick, node, run)
            return
        self.after(_TICK_S, self._tick, node, run)
        self._apply_effects(
            node, node.replica.tick(node.local_time_s(self.now_s))
        )

    def _apply_effects(
        self, node: consensus_node.Node, result: effects_module.Effects
    ) -> None:
        for write in result.writes:
            self.checker.check_appended(write.entries)
            self.event_counts["truncations"] += write.truncate_from is not None
            self.event_counts["snapshots"] += write.snapshot is not None
            self.event_counts["snapshots received"] += write.replaces_log
        node.queue.extend(result.writes)
        for message in result.messages:
            self._send(node, message)
        if result.snapshot_to_install is not None:
            digest = int(result.snapshot_to_install.data or b"0")
            self.checker.check_snapshot(
                node, result.snapshot_to_install.log_index, digest
            )
            node.applied_index = result.snapshot_to_install.log_index
            node.digest = digest
        for entry in result.committed:
            self._commit(node, entry)
        if result.snapshot_wanted:
            self.after(
                self.generator.random() * 0.05,
                self._take_snapshot,
                node,
                node.run_number,
                (node.applied_index, node.digest),
            )
        if node.queue and not node.batch:
            self._start_sync(node)

    def _commit(
        self, node: consensus_node.Node, entry: entry_module.Entry
    ) -> None:
        is_first = entry.log_index not in self.checker.committed
        self.checker.check_committed(node, entry)
        if is_first:
            self.committed_count += 1
            if self.checks_disks:
                self.checker.check_on_quorum(self.nodes, node, entry)
            self.handle_first_commit(entry)
        node.applied_index = entry.log_index
        node.digest = consensus_checker.digest_after(node.digest, entry)

    def _take_snapshot(
        self, node: consensus_node.Node, run: int, state: tuple[int, int]
    ) -> None:
        if node.run_number != run or node.replica is None:
            return
        result = node.replica.store_snapshot(
            node.local_time_s(self.now_s), state[0], b"%010d" % state[1]
        )
        self._apply_effects(node, result)

    def _start_sync(self, node: consensus_node.Node) -> None:
        node.batch = node.queue
        node.queue = []
        delay_s = self.generator.random() * self.max_sync_s
        if self.generator.random() < self.slow_rate:
            delay_s *= 40
        self.after(delay_s, self._end_sync, node, node.run_number)

    def _end_sync(self, node: consensus_node.Node, run: int) -> None:
        if node.run_number != run or node.replica is None:
            return
        if node.paused_until_s > self.now_s:
            self.after(
                node.paused_until_s - self.now_s, self._end_sync, node, run
            )
            return
        if node.name in self.hung_disks:
            self.after(_POLL_INTERVAL_S, self._end_sync, node, run)
            return
        node.disk.sync(node.batch)
        write_id = node.batch[-1].write_id
        node.batch = []
        self._apply_effects(
            node,
            node.replica.note_synced(node.local_time_s(self.now_s), write_id),
        )
        if node.queue and not node.batch:
            self._start_sync(node)

    def _send(
        self, node: consensus_node.Node, message: messages.Message
    ) -> None:
        copies = 1
        if self.generator.random() < self.loss_rate:
            copies = 0
        elif self.generator.random() < self.duplicate_rate:
            copies = 2
        for _ in range(copies):
            delay_s = 0.0005 + self.generator.random() * 0.01
            if self.generator.random() < self.slow_rate:
                delay_s *= 50
            name = message.recipient.partition("@")[0]
            delay_s += self.extra_delay_s.get((node.name, name), 0.0)
            self.after(delay_s, self._deliver, node.name, message)

    def _deliver(self, sender: str, message: messages.Message) -> None:
        name = message.recipient.partition("@")[0]
        if (sender, name) in self.cut_links:
            return
        for node in self.nodes:
            if node.name == name:
                self._receive(node, sender, message)

    def _receive(
        self,
        node: consensus_node.Node,
        sender: str,
        message: messages.Message,
    ) -> None:
        if node.replica is None:
            return
        if node.paused_until_s > self.now_s:
            self.after(
                node.paused_until_s - self.now_s, self._deliver, sender, message
            )
            return
        self._apply_effects(
            node, node.replica.step(node.local_time_s(self.now_s), message)
        )
