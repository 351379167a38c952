"""A power cut at any operation leaves all that was acknowledged."""

import contextlib
import random

import pytest

from bench import consensus_files
from cranberrymux import storage
from cranberrymux.consensus import entry
from cranberrymux.consensus import membership
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write

COMMAND = entry.EntryKind.COMMAND


def _entries(first, last, term):
    return tuple(
        entry.Entry(x, term, COMMAND, b"payload %d" % x)
        for x in range(first, last + 1)
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
    # As a replica does: truncated only for an entry of another term.
    (
        write.Write(
            11,
            write.HardState(4, ""),
            truncate_from=21,
            entries=_entries(21, 21, 4),
        ),
    ),
)


def _open(files):
    opened = storage.open_folder("/data", "a", files, "1", segment_bytes=150)
    assert isinstance(opened, storage.Folder), opened
    return opened


def _restore(files):
    state = _open(files).restore()
    assert isinstance(state, restored_state.RestoredState), state
    return state


def _model(batches):
    """The state after whole batches, by a model without files."""
    hard, kept, log = write.HardState(0, ""), snapshot.NONE, {}
    for one in (one for batch in batches for one in batch):
        hard = one.hard_state or hard
        if one.snapshot is not None:
            kept = one.snapshot
        if one.replaces_log:
            log = {}
        if one.truncate_from is not None:
            log = {x: y for x, y in log.items() if x < one.truncate_from}
        log.update({x.log_index: x for x in one.entries})
    left = tuple(log[x] for x in sorted(log) if x > kept.log_index)
    return restored_state.RestoredState("a@1", hard, kept, left)


def _apply_until_cut(files, cut_at):
    """Applies batches; returns the count that was acknowledged."""
    done = 0
    try:
        folder = _open(files)
        folder.restore()
        files.cut_at = cut_at
        for batch in BATCHES:
            assert folder.apply(batch) is None
            done += 1
    except consensus_files.PowerCutError:
        pass
    return done


def _check_cut(files_class, cut_at, seed):
    files = files_class(random.Random(seed))
    done = _apply_until_cut(files, cut_at)
    files.crash()
    state = _restore(files)
    before = _model(BATCHES[:done])
    after = _model(BATCHES[: done + 1])
    assert state.hard_state in (before.hard_state, after.hard_state)
    assert state.snapshot in (before.snapshot, after.snapshot)
    assert _is_between(state, before, after)
    return done < len(BATCHES)


def _is_between(state, before, after):
    # Every entry is of one of the two states, and none that both have, and
    # that the snapshot does not cover, is missing.
    known = set(before.entries) | set(after.entries)
    if not set(state.entries) <= known:
        return False
    both = set(before.entries) & set(after.entries)
    covered = state.snapshot.log_index
    return {x for x in both if x.log_index > covered} <= set(state.entries)


def _check_all_cuts(files_class):
    for seed in range(6):
        cut_at = 3
        while _check_cut(files_class, cut_at, seed):
            cut_at += 1
        assert cut_at > 50


def test_any_power_cut_leaves_what_was_acknowledged():
    _check_all_cuts(consensus_files.FaultyFileSystem)


def test_power_cut_during_repair():
    for seed in range(200):
        files = consensus_files.FaultyFileSystem(random.Random(seed))
        done = _apply_until_cut(files, 3 + seed % 60)
        files.crash()
        files.cut_at = files.operations + 1 + seed % 4
        with contextlib.suppress(consensus_files.PowerCutError):
            _open(files).restore()
        files.crash()
        state = _restore(files)
        before, after = _model(BATCHES[:done]), _model(BATCHES[: done + 1])
        assert state.hard_state in (before.hard_state, after.hard_state)
        assert _is_between(state, before, after)


def test_whole_state_is_restored():
    files = consensus_files.FaultyFileSystem(random.Random(0))
    assert _apply_until_cut(files, None) == len(BATCHES)
    files.crash()
    assert _restore(files) == _model(BATCHES)


class LyingFile(consensus_files.FaultyFileSystem):
    """Acknowledges a file's sync without syncing."""

    def open_append(self, path):
        file = super().open_append(path)
        file.sync = lambda: self.operate("sync")
        return file


class LyingFolder(consensus_files.FaultyFileSystem):
    """Acknowledges a folder's sync without syncing."""

    def sync_folder(self, path):
        self.operate("sync_folder")


@pytest.mark.parametrize("files_class", [LyingFile, LyingFolder])
def test_missing_sync_is_found(files_class):
    with pytest.raises(AssertionError):
        _check_all_cuts(files_class)
