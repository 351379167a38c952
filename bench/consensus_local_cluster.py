"""Cluster in one process with real storage and the real clock."""

import collections
from concurrent import futures
import pathlib
import random
import time

from cranberrymux import storage
from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import codec
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import outgoing_message
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write as write_module

_TICK_S = 0.02
_WAIT_TIMEOUT_S = 60.0


class LocalMember:
    """One member: its folder, driver and the sync under way.

    Attributes:
        folder: Durable storage of the member.
        driver: Runs the member's replica.
        applied_index: Index of the last applied entry.
        installed_bytes: Size of the last installed snapshot; 0 for none.
        batch: Writes of the sync under way.
        sync: The sync under way; None for none.
    """

    def __init__(
        self,
        path: pathlib.Path,
        name: str,
        settings: replica_settings.ReplicaSettings,
        formed: write_module.Write | None,
    ) -> None:
        """Creates the folder and starts the driver on it.

        Args:
            path: Folder of the cluster.
            name: Name of the member.
            settings: Settings of the replica.
            formed: Write that makes it a voter; None for an empty folder.
        """
        opened = storage.open_folder(str(path / name), name, incarnation="1")
        assert isinstance(opened, storage.Folder), opened
        state = opened.restore()
        if formed is not None:
            assert opened.apply((formed,)) is None
            opened.close()
            opened = storage.open_folder(str(path / name), name)
            assert isinstance(opened, storage.Folder), opened
            state = opened.restore()
        assert isinstance(state, restored_state.RestoredState), state
        self.folder = opened
        self.driver = driver_module.LogDriver(
            settings, random.Random(name), state, time.monotonic()
        )
        self.applied_index = 0
        self.installed_bytes = 0
        self.batch: tuple[write_module.Write, ...] = ()
        self.sync: futures.Future[storage.StorageError | None] | None = None


class LocalCluster:
    """Runs members in the calling thread and their syncs in a thread pool.

    Attributes:
        messages: Number of messages sent so far.
        syncs: Number of syncs started so far.
        members: The members by replica id.
        leader: The member that held the lease after the start.
    """

    def __init__(
        self,
        path: pathlib.Path,
        voters: int,
        settings: replica_settings.ReplicaSettings,
    ) -> None:
        """Forms a cluster and waits for a leader with a valid lease.

        Args:
            path: Existing folder for the members' folders.
            voters: Number of voters, at most 7.
            settings: Settings of the replicas.
        """
        self._path = path
        self._settings = settings
        self._pool = futures.ThreadPoolExecutor(voters + 1)
        self._network: collections.deque[outgoing_message.OutgoingMessage] = (
            collections.deque()
        )
        self._ticked_at_s = 0.0
        self.messages = 0
        self.syncs = 0
        names = "abcdefg"[:voters]
        voter_members = tuple(member.Member(f"{x}@1", x, True) for x in names)
        membership_entry = entry_module.Entry(
            1,
            1,
            entry_module.EntryKind.MEMBERSHIP,
            codec.encode_membership(
                membership.Membership("bench", voter_members)
            ),
        )
        formed = write_module.Write(
            1, write_module.HardState(1, ""), entries=(membership_entry,)
        )
        self.members = {
            f"{x}@1": LocalMember(path, x, settings, formed) for x in names
        }
        self.leader = self._wait_for_leader()

    def close(self) -> None:
        """Stops the threads and closes the folders."""
        self._pool.shutdown()
        for local_member in self.members.values():
            local_member.folder.close()

    def propose(self, payload: bytes) -> int:
        """Proposes a command at the leader and returns its index."""
        result = self.leader.driver.propose(time.monotonic(), payload)
        assert isinstance(result, proposed_module.Proposed), result
        self._apply_actions(self.leader, result.actions)
        return result.log_index

    def add_learner(self, name: str) -> LocalMember:
        """Starts a member with an empty folder and adds it as a learner."""
        learner = LocalMember(self._path, name, self._settings, None)
        replica_id = learner.driver.replica.replica_id
        self.members[replica_id] = learner
        change = member_change.MemberChange(
            member_change.ChangeKind.ADD_LEARNER, replica_id, name
        )
        result = self.leader.driver.change_members(time.monotonic(), change)
        assert isinstance(result, proposed_module.Proposed), result
        self._apply_actions(self.leader, result.actions)
        return learner

    def snapshot(self, data: bytes) -> None:
        """Passes the leader a snapshot at its last applied entry."""
        actions = self.leader.driver.store_snapshot(
            time.monotonic(), self.leader.applied_index, data
        )
        self._apply_actions(self.leader, actions)

    def wait_for(self, local_member: LocalMember, index: int) -> None:
        """Runs the cluster until a member has applied an entry.

        Raises:
            AssertionError: The member has not applied it after 60 s.
        """
        until_s = time.monotonic() + _WAIT_TIMEOUT_S
        while local_member.applied_index < index:
            self.pump()
            assert time.monotonic() < until_s, "entry not applied in time"

    def pump(self) -> None:
        """Ticks if due, delivers all messages and finishes completed syncs."""
        now_s = time.monotonic()
        if now_s - self._ticked_at_s >= _TICK_S:
            self._ticked_at_s = now_s
            for local_member in self.members.values():
                self._apply_actions(
                    local_member, local_member.driver.tick(now_s)
                )
        while self._network:
            outgoing = self._network.popleft()
            target = self.members[outgoing.recipient]
            received = target.driver.receive(time.monotonic(), outgoing.payload)
            assert isinstance(received, actions_module.Actions), received
            self._apply_actions(target, received)
        running = [x.sync for x in self.members.values() if x.sync is not None]
        if running:
            futures.wait(running, _TICK_S, futures.FIRST_COMPLETED)
        for local_member in self.members.values():
            self._finish_sync(local_member)

    def _wait_for_leader(self) -> LocalMember:
        until_s = time.monotonic() + _WAIT_TIMEOUT_S
        while time.monotonic() < until_s:
            self.pump()
            for local_member in self.members.values():
                if local_member.driver.may_read(time.monotonic()):
                    return local_member
            time.sleep(0.001)
        raise AssertionError("no leader with a valid lease in time")

    def _finish_sync(self, local_member: LocalMember) -> None:
        if local_member.sync is None or not local_member.sync.done():
            return
        result, batch = local_member.sync.result(), local_member.batch
        local_member.sync = None
        self._apply_actions(
            local_member,
            local_member.driver.batch_done(time.monotonic(), batch, result),
        )

    def _apply_actions(
        self, local_member: LocalMember, actions: actions_module.Actions
    ) -> None:
        self._network.extend(actions.outgoing)
        self.messages += len(actions.outgoing)
        if actions.snapshot_to_install is not None:
            local_member.applied_index = actions.snapshot_to_install.log_index
            local_member.installed_bytes = len(actions.snapshot_to_install.data)
        if actions.committed:
            local_member.applied_index = actions.committed[-1].log_index
        if local_member.sync is None:
            local_member.batch = local_member.driver.next_batch()
            if local_member.batch:
                self.syncs += 1
                local_member.sync = self._pool.submit(
                    local_member.folder.apply, local_member.batch
                )
