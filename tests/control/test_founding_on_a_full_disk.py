"""A founder whose disk was full while it founded founds after a restart.

Guards against a system that no cluster is ever founded for: every request and
every change gets 503 until an operator interferes.
"""

import errno
import random
import types

import pytest

from cranberrymux import storage
from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import replica_settings
from cranberrymux.control import control_settings
from cranberrymux.control import formation_settings
from cranberrymux.control import peer
from cranberrymux.control import seeded_formation
from cranberrymux.storage import local_file_system

NAME = "c0"
AMPLE_BYTES = 1 << 20
# The vote file of a founder, which holds its name and a random suffix.
VOTE_BYTES = 28 + len(NAME) + 17
SEGMENT_HEADER_BYTES = 18
TICK_S = 0.03
FOUNDED_WITHIN_S = 3.0


class SmallDisk(local_file_system.LocalFileSystem):
    """Has no space left after `free_bytes`; the last write may be torn."""

    def __init__(self, free_bytes):
        self.free_bytes = free_bytes

    def open_append(self, path):
        return SmallDiskFile(path, self)


class SmallDiskFile(local_file_system.LocalFile):
    def __init__(self, path, disk):
        super().__init__(path)
        self._disk = disk

    def write(self, data):
        fitting = data[: self._disk.free_bytes]
        super().write(fitting)
        self._disk.free_bytes -= len(fitting)
        if len(fitting) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")


class Instance:
    """The first seed: its folder, its replica and when it founds."""

    def __init__(self, path, *, is_first_start, now_s=0.0):
        self.now_s = now_s
        self.disk = SmallDisk(AMPLE_BYTES)
        self.folder = storage.open_folder(str(path), NAME, self.disk)
        settings = replica_settings.ReplicaSettings()
        self.driver = driver_module.LogDriver(
            settings, random.Random(1), self.folder.restore(), now_s
        )
        self._formation = seeded_formation.SeededFormation(
            make_settings(settings, is_first_start),
            self.driver,
            types.SimpleNamespace(names=(), addresses=()),
        )

    def found_if_due(self):
        return self._formation.found_cluster_if_due(self.now_s)

    def sync(self):
        """Applies the queued writes; returns actions and storage error."""
        batch = self.driver.next_batch()
        if not batch:
            return actions_module.Actions(), None
        error = self.folder.apply(batch)
        return self.driver.batch_done(self.now_s, batch, error), error

    def run(self):
        """Runs the ticks of an instance for `FOUNDED_WITHIN_S`."""
        until_s = self.now_s + FOUNDED_WITHIN_S
        while self.now_s < until_s:
            self.now_s += TICK_S
            self.driver.tick(self.now_s)
            self.found_if_due()
            _, error = self.sync()
            assert error is None


def make_settings(settings, is_first_start):
    own = peer.Peer(NAME, "127.0.0.1", 7000)
    return control_settings.ControlSettings(
        **dict.fromkeys(control_settings.ControlSettings._fields, 0)
    )._replace(
        control_id=NAME,
        peers=(own,),
        forming=formation_settings.FormationSettings(
            founder=NAME,
            is_first_start=is_first_start,
            minimum_voters=3,
            silent_voter_s=3.0,
            surplus_silent_s=1.0,
            leave_limit_s=2.0,
            heartbeat_s=settings.heartbeat_s,
            lease_s=settings.lease_s,
            election_spread_s=settings.election_spread_s,
        ),
    )


def fail_to_found(path, free_bytes):
    """Founds on a disk with that much space; returns the time of the end."""
    first = Instance(path, is_first_start=True)
    first.disk.free_bytes = free_bytes
    founding = first.found_if_due()
    assert founding.outgoing == ()
    assert founding.committed == ()
    actions, error = first.sync()
    assert error.reason is storage.StorageFailure.DISK_FULL
    assert actions == actions_module.Actions()
    first.folder.close()
    return first.now_s + 1.0


def sizes(path):
    return {
        file.name: file.stat().st_size
        for file in path.iterdir()
        if file.name not in ("identity", "lock")
    }


# The settings say `bootstrap` only at the first start of all instances. The
# founder's vote for itself, without the founding entry, is all that is left.
def test_founds_when_restarted_after_its_first_start(tmp_path):
    now_s = fail_to_found(tmp_path, VOTE_BYTES + SEGMENT_HEADER_BYTES)
    assert sizes(tmp_path) == {
        "vote": VOTE_BYTES,
        "log-00000000000000000001.seg": SEGMENT_HEADER_BYTES,
    }
    again = Instance(tmp_path, is_first_start=False, now_s=now_s)
    journal = again.driver.replica.journal
    assert (journal.term, journal.voted_for) == (1, journal.replica_id)
    assert journal.log.last_index == 0
    again.run()
    assert again.driver.may_read(again.now_s)


@pytest.mark.parametrize(
    "free_bytes",
    [
        0,
        VOTE_BYTES,
        VOTE_BYTES + SEGMENT_HEADER_BYTES,
        VOTE_BYTES + SEGMENT_HEADER_BYTES + 20,
    ],
    ids=["nothing", "vote", "vote and header", "vote and torn entry"],
)
def test_founds_when_restarted_with_the_same_settings(tmp_path, free_bytes):
    now_s = fail_to_found(tmp_path, free_bytes)
    again = Instance(tmp_path, is_first_start=True, now_s=now_s)
    again.run()
    assert again.driver.may_read(again.now_s)


# The identity alone does not prove that no cluster was founded before.
def test_empty_disk_founds_nothing_however_often_it_restarts(tmp_path):
    now_s = 0.0
    for _ in range(2):
        wiped = Instance(tmp_path, is_first_start=False, now_s=now_s)
        wiped.run()
        assert wiped.driver.replica.journal.log.last_index == 0
        wiped.folder.close()
        now_s = wiped.now_s
