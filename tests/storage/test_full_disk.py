"""A disk without room delays writes, and loses none once there is room.

Guards against a replica that ends, or acknowledges what a power failure takes
away, because its disk was full for some seconds.
"""

import errno
import random
import resource
import signal

import pytest

from bench import faulty_file_system
from cranberrymux import storage
from cranberrymux.consensus import write
from tests.storage import folders
from tests.storage import test_power_cut

BATCHES = test_power_cut.BATCHES


class FullDisk(faulty_file_system.FaultyFileSystem):
    """Refuses a number of operations in a row, from one after `begin` on.

    What a failed sync should have made durable reads as zeros after a power
    failure, although a later sync succeeds.
    """

    def __init__(self, generator, full_at, full_for):
        super().__init__(generator)
        self._full_at = full_at
        self._full_for = full_for
        self._full = range(0)

    def begin(self):
        first = self.operation_count + self._full_at
        self._full = range(first, first + self._full_for)

    def crash(self):
        super().crash()
        self._full = range(0)

    def begin_operation(self, name):
        super().begin_operation(name)
        if self.operation_count in self._full:
            raise OSError(errno.ENOSPC, "no space left")

    def open_append(self, path):
        file = super().open_append(path)
        return FullDiskFile(file, self._contents[path])


class FullDiskFile:
    def __init__(self, file, content):
        self._file = file
        self._content = content
        if not hasattr(content, "lost"):
            content.lost = range(0)
        self.write = file.write
        self.close = file.close

    def truncate(self, size_bytes):
        self._file.truncate(size_bytes)
        lost = self._content.lost
        self._content.lost = range(lost.start, min(lost.stop, size_bytes))

    def sync(self):
        content = self._content
        try:
            self._file.sync()
        except OSError:
            content.lost = range(len(content.durable), len(content.current))
            raise
        durable = bytearray(content.durable)
        for offset in content.lost:
            durable[offset] = 0
        content.durable = bytes(durable)


def _apply(folder, batch):
    """Applies a batch, and resumes it until there is room."""
    error = folder.apply(batch)
    while error is not None:
        assert error.reason is storage.StorageFailure.DISK_FULL
        assert folders.reason(folder.apply(batch)) is folders.Reason.CLOSED
        error = folder.resume()


def _apply_until_cut(files, cut_after):
    """Returns how many batches were acknowledged."""
    acknowledged = 0
    try:
        folder = test_power_cut.open_folder(files)
        folder.restore()
        files.begin()
        if cut_after is not None:
            files.power_cut_at = files.operation_count + cut_after
        for batch in BATCHES:
            _apply(folder, batch)
            acknowledged += 1
    except faulty_file_system.PowerCutError:
        pass
    return acknowledged


@pytest.mark.parametrize("full_for", [1, 2, 3, 7, 20])
def test_writes_that_found_the_disk_full_survive_a_power_failure(full_for):
    for full_at in range(1, 90):
        files = FullDisk(random.Random(full_at), full_at, full_for)
        assert _apply_until_cut(files, None) == len(BATCHES)
        files.crash()
        restored = test_power_cut.restore(files)
        assert restored == test_power_cut.model(BATCHES)


@pytest.mark.parametrize("full_for", [1, 2, 7])
def test_power_failure_beside_a_full_disk_keeps_acknowledged_writes(full_for):
    for seed in range(400):
        generator = random.Random(seed)
        full_at = generator.randint(1, 80)
        files = FullDisk(generator, full_at, full_for)
        cut_after = full_at + generator.randint(1, 2 * full_for + 6)
        acknowledged = _apply_until_cut(files, cut_after)
        files.crash()
        state = test_power_cut.restore(files)
        before = test_power_cut.model(BATCHES[:acknowledged])
        after = test_power_cut.model(BATCHES[: acknowledged + 1])
        assert state.hard_state in (before.hard_state, after.hard_state)
        # A snapshot that found no room leaves all that it covers in the log.
        appended = {x for batch in BATCHES for y in batch for x in y.entries}
        known = {*before.entries, *after.entries}
        assert set(state.entries) <= known | {
            x for x in appended if x.log_index <= before.snapshot.log_index
        }
        both = set(before.entries) & set(after.entries)
        assert {
            x for x in both if x.log_index > state.snapshot.log_index
        } <= set(state.entries)


def test_only_a_full_disk_can_be_resumed():
    files = folders.memory()
    folder = folders.fill("/data", files)
    assert folders.reason(folder.resume()) is folders.Reason.CLOSED
    files.injected_errors["sync"] = OSError(errno.EIO, "injected")
    writes = (write.Write(4, entries=folders.entries(10, 10)),)
    reason = folders.reason(folder.apply(writes))
    assert reason is folders.Reason.WRITE_FAILED
    files.injected_errors.clear()
    assert folders.reason(folder.resume()) is folders.Reason.CLOSED


def test_entries_are_stored_where_a_snapshot_finds_no_room():
    """A disk that has room for small writes only; no such snapshot is lost."""
    files = folders.memory()
    folder = folders.fill("/data", files)
    files.injected_errors["replace"] = OSError(errno.ENOSPC, "injected")
    assert folder.apply(folders.WITH_SNAPSHOT) is None
    writes = (write.Write(5, entries=folders.entries(10, 10)),)
    assert folder.apply(writes) is None
    files.injected_errors.clear()
    assert not [name for name in files.names("/data") if name.endswith(".new")]
    files.crash()
    state = storage.open_folder("/data", "a", files, "1").restore()
    assert state.snapshot.log_index == 0
    assert [entry.log_index for entry in state.entries] == list(range(1, 11))


def test_a_file_that_may_not_grow_is_written_once_it_may(tmp_path):
    """The last write is torn by the system itself."""
    path = str(tmp_path / "data")
    folder = folders.fill(path)
    size_bytes = sum(
        file.stat().st_size for file in (tmp_path / "data").glob("log-*")
    )
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    previous = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    try:
        resource.setrlimit(resource.RLIMIT_FSIZE, (size_bytes + 10, limits[1]))
        writes = (write.Write(4, entries=folders.entries(10, 12)),)
        assert folders.reason(folder.apply(writes)) is folders.Reason.DISK_FULL
        assert folders.reason(folder.resume()) is folders.Reason.DISK_FULL
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        signal.signal(signal.SIGXFSZ, previous)
    assert folder.resume() is None
    folder.close()
    report = storage.check(path)
    assert (report.last_index, report.torn_bytes, report.is_sound) == (
        12,
        0,
        True,
    )
