"""Members of one log in one process, on real folders and the real clock."""

import collections
from concurrent import futures
import pathlib
import random
import time

from cranberrymux import storage
from cranberrymux.consensus import codec
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write as write_module

_TICK_S = 0.02
_TIMEOUT_S = 60.0


class LocalMember:
    """One member: its folder, driver and the sync under way."""

    def __init__(
        self,
        path: pathlib.Path,
        name: str,
        settings: replica_settings.ReplicaSettings,
        formed: write_module.Write | None,
    ) -> None:
        """Opens the folder, formed or empty."""
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
    """Runs members whose syncs go on in threads."""

    def __init__(
        self,
        path: pathlib.Path,
        voters: int,
        settings: replica_settings.ReplicaSettings,
    ) -> None:
        """Forms a cluster and waits for its leader."""
        self._path = path
        self._settings = settings
        self._pool = futures.ThreadPoolExecutor(voters + 1)
        self._network: collections.deque[driver_module.OutgoingMessage] = (
            collections.deque()
        )
        self._ticked_at_s = 0.0
        self.messages = 0
        self.syncs = 0
        names = "abcdefg"[:voters]
        listed = tuple(member.Member(f"{x}@1", x, True) for x in names)
        first = entry_module.Entry(
            1,
            1,
            entry_module.EntryKind.MEMBERSHIP,
            codec.encode_membership(membership.Membership("bench", listed)),
        )
        formed = write_module.Write(
            1, write_module.HardState(1, ""), entries=(first,)
        )
        self.members = {
            f"{x}@1": LocalMember(path, x, settings, formed) for x in names
        }
        self.leader = self._wait_for_leader()

    def close(self) -> None:
        """Ends the threads and gives the folders back."""
        self._pool.shutdown()
        for one in self.members.values():
            one.folder.close()

    def propose(self, payload: bytes) -> int:
        """Proposes at the leader; returns the entry's index."""
        result = self.leader.driver.propose(time.monotonic(), payload)
        assert isinstance(result, driver_module.Proposed), result
        self._act(self.leader, result.actions)
        return result.log_index

    def add_learner(self, name: str) -> LocalMember:
        """Adds an empty member as a learner."""
        added = LocalMember(self._path, name, self._settings, None)
        identity = added.driver.replica.replica_id
        self.members[identity] = added
        change = member_change.MemberChange(
            member_change.ChangeKind.ADD_LEARNER, identity, name
        )
        result = self.leader.driver.change_members(time.monotonic(), change)
        assert isinstance(result, driver_module.Proposed), result
        self._act(self.leader, result.actions)
        return added

    def snapshot(self, data: bytes) -> None:
        """Hands the leader a snapshot of its state."""
        actions = self.leader.driver.snapshot_taken(
            time.monotonic(), self.leader.applied_index, data
        )
        self._act(self.leader, actions)

    def wait_for(self, one: LocalMember, index: int) -> None:
        """Runs until a member has applied an entry."""
        until_s = time.monotonic() + _TIMEOUT_S
        while one.applied_index < index:
            self.pump()
            assert time.monotonic() < until_s, "timed out"

    def pump(self) -> None:
        """Moves messages and syncs on once."""
        now_s = time.monotonic()
        if now_s - self._ticked_at_s >= _TICK_S:
            self._ticked_at_s = now_s
            for one in self.members.values():
                self._act(one, one.driver.tick(now_s))
        while self._network:
            outgoing = self._network.popleft()
            target = self.members[outgoing.recipient]
            received = target.driver.receive(time.monotonic(), outgoing.payload)
            assert isinstance(received, driver_module.Actions), received
            self._act(target, received)
        running = [x.sync for x in self.members.values() if x.sync is not None]
        if running:
            futures.wait(running, _TICK_S, futures.FIRST_COMPLETED)
        for one in self.members.values():
            self._finish_sync(one)

    def _wait_for_leader(self) -> LocalMember:
        until_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < until_s:
            self.pump()
            for one in self.members.values():
                if one.driver.may_read(time.monotonic()):
                    return one
            time.sleep(0.001)
        raise AssertionError("no leader")

    def _finish_sync(self, one: LocalMember) -> None:
        if one.sync is None or not one.sync.done():
            return
        result, batch = one.sync.result(), one.batch
        one.sync = None
        self._act(one, one.driver.batch_done(time.monotonic(), batch, result))

    def _act(self, one: LocalMember, actions: driver_module.Actions) -> None:
        self._network.extend(actions.outgoing)
        self.messages += len(actions.outgoing)
        if actions.snapshot_to_install is not None:
            one.applied_index = actions.snapshot_to_install.log_index
            one.installed_bytes = len(actions.snapshot_to_install.data)
        if actions.committed:
            one.applied_index = actions.committed[-1].log_index
        if one.sync is None:
            one.batch = one.driver.next_batch()
            if one.batch:
                self.syncs += 1
                one.sync = self._pool.submit(one.folder.apply, one.batch)
