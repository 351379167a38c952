"""Typed errors, the lock, the identity and the offline check."""

import errno
import os
import random
import shutil
import subprocess
import sys

import pytest

from bench import consensus_files
from cranberrymux import storage
from cranberrymux.consensus import entry
from cranberrymux.consensus import membership
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write

Reason = storage.StorageFailure


def _entries(first, last):
    return tuple(
        entry.Entry(x, 1, entry.EntryKind.COMMAND, b"p" * 20)
        for x in range(first, last + 1)
    )


BATCHES = (
    (write.Write(1, write.HardState(1, "a@1"), entries=_entries(1, 3)),),
    (write.Write(2, entries=_entries(4, 6)),),
    (write.Write(3, entries=_entries(7, 9)),),
)
WITH_SNAPSHOT = (
    write.Write(
        4,
        snapshot=snapshot.Snapshot(5, 1, membership.EMPTY, b"s"),
        first_index=5,
    ),
)


def _fill(path, files=None, segment_bytes=1 << 20):
    folder = storage.open_folder(path, "a", files, "1", segment_bytes)
    assert isinstance(folder, storage.Folder), folder
    folder.restore()
    for batch in BATCHES:
        assert folder.apply(batch) is None
    return folder


def _memory():
    return consensus_files.FaultyFileSystem(random.Random(0))


def _reason(result):
    assert isinstance(result, storage.StorageError), result
    return result.reason


def _reopen_reason(files):
    files.locked.clear()
    opened = storage.open_folder("/data", "a", files, "1")
    if isinstance(opened, storage.StorageError):
        return opened.reason
    return _reason(opened.restore())


def test_real_files_survive_a_restart(tmp_path):
    path = str(tmp_path / "data")
    folder = _fill(path, segment_bytes=200)
    assert folder.apply(WITH_SNAPSHOT) is None
    folder.close()
    again = storage.open_folder(path, "a")
    assert (again.replica_id, again.is_new) == ("a@1", False)
    state = again.restore()
    assert state.snapshot.log_index == 5
    assert [x.log_index for x in state.entries] == [6, 7, 8, 9]
    again.close()


def test_removed_folder_gets_another_identity(tmp_path):
    path = str(tmp_path / "data")
    first = storage.open_folder(path, "a")
    first.close()
    shutil.rmtree(path)
    second = storage.open_folder(path, "a")
    assert second.is_new
    assert second.replica_id != first.replica_id
    assert second.restore().hard_state == write.HardState(0, "")
    second.close()


def test_lock_keeps_a_second_process_out(tmp_path):
    path = str(tmp_path / "data")
    folder = _fill(path)
    code = (
        "from cranberrymux import storage\n"
        f"print(storage.open_folder({path!r}, 'a').reason.value)\n"
    )
    found = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert found.stdout == "locked\n"
    assert storage.check(path).problem.reason is Reason.LOCKED
    folder.close()
    assert storage.check(path).is_sound


def test_folder_of_another_instance(tmp_path):
    path = str(tmp_path / "data")
    _fill(path).close()
    assert _reason(storage.open_folder(path, "b")) is Reason.WRONG_NAME


@pytest.mark.parametrize(
    ("operation", "number", "reason"),
    [
        ("write", errno.ENOSPC, Reason.DISK_FULL),
        ("write", errno.EDQUOT, Reason.DISK_FULL),
        ("sync", errno.EIO, Reason.WRITE_FAILED),
        ("write", errno.EROFS, Reason.WRITE_FAILED),
    ],
)
def test_failed_write_is_never_acknowledged(operation, number, reason):
    files = _memory()
    folder = _fill("/data", files)
    files.errors[operation] = OSError(number, "planned")
    more = (write.Write(4, entries=_entries(10, 10)),)
    assert _reason(folder.apply(more)) is reason
    files.errors.clear()
    # A sync that failed once may succeed later without the data.
    assert _reason(folder.apply(more)) is Reason.CLOSED


def test_failed_vote_is_never_acknowledged():
    files = _memory()
    folder = _fill("/data", files)
    for operation in ("replace", "sync_folder"):
        files.errors = {operation: OSError(errno.EIO, "planned")}
        vote = (write.Write(4, write.HardState(2, "b@1")),)
        assert _reason(folder.apply(vote)) in (
            Reason.WRITE_FAILED,
            Reason.CLOSED,
        )


def test_read_error_is_typed():
    files = _memory()
    _fill("/data", files)
    files.errors["read"] = OSError(errno.EIO, "planned")
    assert _reopen_reason(files) is Reason.READ_FAILED


def test_damage_to_a_durable_record_is_found_at_every_byte():
    size = _segment_size()
    # The last batch cannot be told from a torn write; see the next test.
    for offset in range(0, size - _last_batch_bytes(), 5):
        files = _memory()
        _fill("/data", files)
        files.damage("/data/log-00000000000000000001.seg", offset)
        assert _reopen_reason(files) is Reason.CORRUPT, offset


def test_damage_to_the_last_batch_is_cut_off():
    files = _memory()
    _fill("/data", files)
    path = "/data/log-00000000000000000001.seg"
    files.damage(path, _segment_size() - 1)
    files.locked.clear()
    report = storage.check("/data", files)
    assert report.is_sound
    assert report.torn_bytes > 0
    assert report.last_index == 8
    state = storage.open_folder("/data", "a", files, "1").restore()
    assert [x.log_index for x in state.entries] == list(range(1, 9))


def test_damage_to_an_earlier_segment_is_found():
    files = _memory()
    _fill("/data", files, segment_bytes=100)
    first = "/data/log-00000000000000000001.seg"
    files.damage(first, len(files.read(first)) - 1)
    assert _reopen_reason(files) is Reason.CORRUPT


def test_missing_segment_is_found():
    files = _memory()
    _fill("/data", files, segment_bytes=100)
    names = sorted(x for x in files.names("/data") if x.endswith("seg"))
    files.remove(f"/data/{names[1]}")
    assert _reopen_reason(files) is Reason.CORRUPT


@pytest.mark.parametrize("name", ["identity", "vote", "snapshot"])
@pytest.mark.parametrize("offset", [0, 6, 8, 17, 20])
def test_damage_to_a_small_file_is_found(name, offset):
    files = _memory()
    folder = _fill("/data", files)
    folder.apply(WITH_SNAPSHOT)
    files.damage(f"/data/{name}", offset)
    assert _reopen_reason(files) is Reason.CORRUPT


def test_later_format_is_refused():
    files = _memory()
    _fill("/data", files)
    files.damage("/data/vote", 5)
    assert _reopen_reason(files) is Reason.UNKNOWN_VERSION


def test_lost_vote_file_is_found():
    files = _memory()
    _fill("/data", files)
    files.remove("/data/vote")
    assert _reopen_reason(files) is Reason.CORRUPT


def test_lost_identity_is_not_replaced():
    files = _memory()
    _fill("/data", files)
    files.remove("/data/identity")
    assert _reopen_reason(files) is Reason.CORRUPT


def test_check_changes_nothing(tmp_path):
    path = tmp_path / "data"
    _fill(str(path)).close()
    segment = path / "log-00000000000000000001.seg"
    segment.write_bytes(segment.read_bytes() + b"torn")
    before = {x.name: x.read_bytes() for x in path.iterdir()}
    report = storage.check(str(path))
    assert (report.replica_id, report.term, report.last_index) == ("a@1", 1, 9)
    assert (report.torn_bytes, report.is_sound) == (4, True)
    assert {x.name: x.read_bytes() for x in path.iterdir()} == before


def test_check_of_no_folder(tmp_path):
    report = storage.check(str(tmp_path / "none"))
    assert report.problem.reason is Reason.READ_FAILED
    assert not (tmp_path / "none").exists()


def test_apply_before_restore_is_refused(tmp_path):
    folder = storage.open_folder(str(tmp_path / "data"), "a")
    assert _reason(folder.apply(BATCHES[0])) is Reason.CLOSED
    assert isinstance(folder.restore(), restored_state.RestoredState)
    folder.close()
    assert _reason(folder.apply(BATCHES[0])) is Reason.CLOSED


def _segment_size():
    files = _memory()
    _fill("/data", files)
    return len(files.read("/data/log-00000000000000000001.seg"))


def _last_batch_bytes():
    return 3 * (12 + 25 + 20)
