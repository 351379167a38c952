"""A power failure at any operation loses nothing that was acknowledged.

Guards against writes that are acknowledged before they are durable, or that
reach the disk in an order that a restart cannot repair. The file system in
memory keeps a random part of what was not synced, whole or torn.
"""

import contextlib
import random

import pytest

from bench import faulty_file_system
from cranberrymux import storage
from cranberrymux.consensus import entry
from cranberrymux.consensus import membership
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write

COMMAND = entry.EntryKind.COMMAND


def _entries(first, last, term):
    return tuple(
        entry.Entry(index, term, COMMAND, b"payload %d" % index)
        for index in range(first, last + 1)
    )


def _snapshot(index, term):
    return snapshot.Snapshot(index, term, membership.EMPTY, b"state" * index)


BATCHES = (
    (write.Write(1, write.HardState(1, "a@1")),),
    (
        write.Write(2, entries=_entries(1, 3, 1)),
        write.Write(3, entries=_entries(4, 4, 1)),
    ),
    (write.Write(4, entries=_entries(5, 12, 1)),),
    (
        write.Write(5, write.HardState(2, "")),
        write.Write(6, truncate_from=4, entries=_entries(4, 9, 2)),
    ),
    (write.Write(7, snapshot=_snapshot(6, 2), first_index=5),),
    (write.Write(8, write.HardState(3, "b@1"), entries=_entries(10, 14, 3)),),
    (
        write.Write(
            9, snapshot=_snapshot(20, 3), replaces_log=True, first_index=21
        ),
        write.Write(10, entries=_entries(21, 23, 3)),
    ),
    # Like a replica, truncates only to append an entry of another term.
    (
        write.Write(
            11,
            write.HardState(4, ""),
            truncate_from=21,
            entries=_entries(21, 21, 4),
        ),
    ),
)


def open_folder(files):
    opened = storage.open_folder("/data", "a", files, "1", segment_bytes=150)
    assert isinstance(opened, storage.Folder), opened
    return opened


def restore(files):
    state = open_folder(files).restore()
    assert isinstance(state, restored_state.RestoredState), state
    return state


def model(batches):
    """Returns the state after whole batches, computed without files."""
    hard_state, last_snapshot, log = write.HardState(0, ""), snapshot.NONE, {}
    for change in (change for batch in batches for change in batch):
        hard_state = change.hard_state or hard_state
        if change.snapshot is not None:
            last_snapshot = change.snapshot
        if change.replaces_log:
            log = {}
        if change.truncate_from is not None:
            log = {
                index: kept
                for index, kept in log.items()
                if index < change.truncate_from
            }
        log.update(
            {appended.log_index: appended for appended in change.entries}
        )
    entries = tuple(
        log[index] for index in sorted(log) if index > last_snapshot.log_index
    )
    return restored_state.RestoredState(
        "a@1", hard_state, last_snapshot, entries
    )


def _apply_until_cut(files, cut_at):
    """Applies batches; returns how many were acknowledged."""
    acknowledged = 0
    try:
        folder = open_folder(files)
        folder.restore()
        files.power_cut_at = cut_at
        for batch in BATCHES:
            assert folder.apply(batch) is None
            acknowledged += 1
    except faulty_file_system.PowerCutError:
        pass
    return acknowledged


def _check_cut(files_class, cut_at, seed):
    files = files_class(random.Random(seed))
    acknowledged = _apply_until_cut(files, cut_at)
    files.crash()
    state = restore(files)
    before = model(BATCHES[:acknowledged])
    after = model(BATCHES[: acknowledged + 1])
    assert state.hard_state in (before.hard_state, after.hard_state)
    assert state.snapshot in (before.snapshot, after.snapshot)
    assert is_between(state, before, after)
    return acknowledged < len(BATCHES)


def is_between(state, before, after):
    # Every entry is in one of the two states, and no entry is missing that is
    # in both and not covered by the snapshot.
    known = set(before.entries) | set(after.entries)
    if not set(state.entries) <= known:
        return False
    both = set(before.entries) & set(after.entries)
    snapshot_index = state.snapshot.log_index
    return {
        common for common in both if common.log_index > snapshot_index
    } <= set(state.entries)


def _check_all_cuts(files_class):
    for seed in range(6):
        cut_at = 3
        while _check_cut(files_class, cut_at, seed):
            cut_at += 1
        assert cut_at > 50


def test_power_failure_at_any_operation_keeps_acknowledged_writes():
    _check_all_cuts(faulty_file_system.FaultyFileSystem)


def test_power_failure_during_restore_keeps_acknowledged_writes():
    for seed in range(200):
        files = faulty_file_system.FaultyFileSystem(random.Random(seed))
        acknowledged = _apply_until_cut(files, 3 + seed % 60)
        files.crash()
        files.power_cut_at = files.operation_count + 1 + seed % 4
        with contextlib.suppress(faulty_file_system.PowerCutError):
            open_folder(files).restore()
        files.crash()
        state = restore(files)
        before, after = (
            model(BATCHES[:acknowledged]),
            model(BATCHES[: acknowledged + 1]),
        )
        assert state.hard_state in (before.hard_state, after.hard_state)
        assert is_between(state, before, after)


def test_power_failure_after_all_batches_restores_the_whole_state():
    files = faulty_file_system.FaultyFileSystem(random.Random(0))
    assert _apply_until_cut(files, None) == len(BATCHES)
    files.crash()
    assert restore(files) == model(BATCHES)


def test_power_failure_keeps_a_large_entry_whole_or_not_at_all():
    """Guards against a part of a large configuration that is restored."""
    payload = random.Random(1).randbytes(1 << 20)
    large = entry.Entry(4, 1, COMMAND, payload)
    for seed in range(30):
        files = faulty_file_system.FaultyFileSystem(random.Random(seed))
        folder = open_folder(files)
        folder.restore()
        for batch in BATCHES[:1]:
            assert folder.apply(batch) is None
        assert (
            folder.apply((write.Write(2, entries=_entries(1, 3, 1)),)) is None
        )
        files.power_cut_at = files.operation_count + 1 + seed % 5
        is_acknowledged = False
        with contextlib.suppress(faulty_file_system.PowerCutError):
            assert folder.apply((write.Write(3, entries=(large,)),)) is None
            is_acknowledged = True
        files.crash()
        entries = restore(files).entries
        assert entries[:3] == _entries(1, 3, 1)
        assert entries[3:] in ((), (large,))
        assert entries[3:] or not is_acknowledged


class FileSyncIgnored(faulty_file_system.FaultyFileSystem):
    """Reports a file's sync as done without making it durable."""

    def open_append(self, path):
        file = super().open_append(path)
        file.sync = lambda: self.begin_operation("sync")
        return file


class FolderSyncIgnored(faulty_file_system.FaultyFileSystem):
    """Reports a folder's sync as done without making it durable."""

    def sync_folder(self, path):
        self.begin_operation("sync_folder")


@pytest.mark.parametrize("files_class", [FileSyncIgnored, FolderSyncIgnored])
def test_ignored_sync_fails_the_checks(files_class):
    with pytest.raises(AssertionError):
        _check_all_cuts(files_class)
