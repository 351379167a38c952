"""A cluster of log drivers on real data folders and a lossless network."""

import random

from cranberrymux import storage
from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import driver
from cranberrymux.consensus import entry
from cranberrymux.consensus import member_change
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.consensus import replica_settings

SETTINGS = replica_settings.ReplicaSettings(
    snapshot_entries=40, retained_entries=5
)
ADD = member_change.ChangeKind.ADD_LEARNER


class Instance:
    def __init__(self, path, name, now_s, settings):
        self.path = path
        self.settings = settings
        self.name = name
        self.applied = []
        self.start(now_s)

    def start(self, now_s):
        self.folder = storage.open_folder(self.path, self.name)
        self.driver = driver.LogDriver(
            self.settings,
            random.Random(self.name),
            self.folder.restore(),
            now_s,
        )

    @property
    def identity(self):
        return self.driver.replica.replica_id


class Cluster:
    """Three instances whose messages all arrive, in the order sent."""

    def __init__(self, folder, settings=SETTINGS):
        self.now_s = 5.0
        self.network = []
        self.instances = [
            Instance(str(folder / name), name, self.now_s, settings)
            for name in "abc"
        ]

    def act(self, instance, actions):
        assert isinstance(actions, actions_module.Actions), actions
        self.network.extend(actions.outgoing)
        if actions.snapshot_to_install is not None:
            instance.applied = actions.snapshot_to_install.data.split(b",")
        instance.applied += [
            committed.payload
            for committed in actions.committed
            if committed.kind is entry.EntryKind.COMMAND
        ]
        if actions.snapshot_wanted:
            index = instance.driver.replica.journal.applied_index
            data = b",".join(instance.applied)
            self.act(
                instance,
                instance.driver.store_snapshot(self.now_s, index, data),
            )

    def settle(self):
        is_busy = True
        while is_busy:
            is_busy = False
            for instance in self.instances:
                is_busy = self._sync(instance) or is_busy
            while self.network:
                is_busy = True
                self._deliver(self.network.pop(0))

    def run_for(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.03
            for instance in self.instances:
                self.act(instance, instance.driver.tick(self.now_s))
                due = instance.driver.next_member_change(self.now_s)
                if due is not None:
                    self.change(instance, due)
            self.settle()

    def change(self, instance, change):
        result = instance.driver.change_members(self.now_s, change)
        assert isinstance(result, proposed_module.Proposed), result
        self.act(instance, result.actions)
        self.settle()

    def propose(self, payload):
        leader = self.leader()
        result = leader.driver.propose(self.now_s, payload)
        assert isinstance(result, proposed_module.Proposed), result
        self.act(leader, result.actions)
        self.settle()

    def leader(self):
        return next(
            instance
            for instance in self.instances
            if instance.driver.may_read(self.now_s)
        )

    def _sync(self, instance):
        batch = instance.driver.next_batch()
        if not batch:
            return False
        error = instance.folder.apply(batch)
        actions = instance.driver.batch_done(self.now_s, batch, error)
        self.act(instance, actions)
        return True

    def _deliver(self, outgoing):
        for instance in self.instances:
            if instance.identity == outgoing.recipient:
                actions = instance.driver.receive(self.now_s, outgoing.payload)
                self.act(instance, actions)
