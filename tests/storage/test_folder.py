"""A data folder's errors, lock, identity and offline check.

Guards against acknowledging a write that failed, against two processes or a
wrong instance using one folder, and against a check that changes the folder.
"""

import errno
import os
import shutil
import subprocess
import sys

import pytest

from cranberrymux import storage
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write
from tests.storage import folders


def test_state_in_local_files_is_restored_after_a_restart(tmp_path):
    path = str(tmp_path / "data")
    folder = folders.fill(path, segment_bytes=200)
    assert folder.apply(folders.WITH_SNAPSHOT) is None
    folder.close()
    reopened = storage.open_folder(path, "a")
    assert (reopened.replica_id, reopened.is_new) == ("a@1", False)
    state = reopened.restore()
    assert state.snapshot.log_index == 5
    assert [entry.log_index for entry in state.entries] == [6, 7, 8, 9]
    reopened.close()


def test_folder_created_again_gets_a_new_identity(tmp_path):
    path = str(tmp_path / "data")
    first = storage.open_folder(path, "a")
    first.close()
    shutil.rmtree(path)
    second = storage.open_folder(path, "a")
    assert second.is_new
    assert second.replica_id != first.replica_id
    assert second.restore().hard_state == write.HardState(0, "")
    second.close()


def test_locked_folder_is_refused_to_another_process(tmp_path):
    path = str(tmp_path / "data")
    folder = folders.fill(path)
    code = (
        "from cranberrymux import storage\n"
        f"print(storage.open_folder({path!r}, 'a').reason.value)\n"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert finished.stdout == "locked\n"
    assert storage.check(path).problem.reason is folders.Reason.LOCKED
    folder.close()
    assert storage.check(path).is_sound


def test_folder_of_another_instance_is_refused(tmp_path):
    path = str(tmp_path / "data")
    folders.fill(path).close()
    assert (
        folders.reason(storage.open_folder(path, "b"))
        is folders.Reason.WRONG_NAME
    )


@pytest.mark.parametrize(
    ("operation", "error_number", "reason"),
    [
        ("write", errno.ENOSPC, folders.Reason.DISK_FULL),
        ("write", errno.EDQUOT, folders.Reason.DISK_FULL),
        ("sync", errno.EIO, folders.Reason.WRITE_FAILED),
        ("write", errno.EROFS, folders.Reason.WRITE_FAILED),
    ],
)
def test_failed_write_is_never_acknowledged(operation, error_number, reason):
    files = folders.memory()
    folder = folders.fill("/data", files)
    files.injected_errors[operation] = OSError(error_number, "injected")
    writes = (write.Write(4, entries=folders.entries(10, 10)),)
    assert folders.reason(folder.apply(writes)) is reason
    files.injected_errors.clear()
    # A later sync may succeed although the data of the failed one is lost.
    assert folders.reason(folder.apply(writes)) is folders.Reason.CLOSED


def test_failed_write_of_the_vote_is_never_acknowledged():
    files = folders.memory()
    folder = folders.fill("/data", files)
    for operation in ("replace", "sync_folder"):
        files.injected_errors = {operation: OSError(errno.EIO, "injected")}
        writes = (write.Write(4, write.HardState(2, "b@1")),)
        assert folders.reason(folder.apply(writes)) in (
            folders.Reason.WRITE_FAILED,
            folders.Reason.CLOSED,
        )


def test_read_error_is_reported_as_read_failed():
    files = folders.memory()
    folders.fill("/data", files)
    files.injected_errors["read"] = OSError(errno.EIO, "injected")
    assert folders.reopen_reason(files) is folders.Reason.READ_FAILED


def test_check_reports_a_torn_tail_and_changes_no_file(tmp_path):
    path = tmp_path / "data"
    folders.fill(str(path)).close()
    segment = path / "log-00000000000000000001.seg"
    segment.write_bytes(segment.read_bytes() + b"torn")
    before = {file.name: file.read_bytes() for file in path.iterdir()}
    report = storage.check(str(path))
    assert (report.replica_id, report.term, report.last_index) == ("a@1", 1, 9)
    assert (report.torn_bytes, report.is_sound) == (4, True)
    assert {file.name: file.read_bytes() for file in path.iterdir()} == before


def test_check_of_a_missing_folder_fails_and_creates_nothing(tmp_path):
    report = storage.check(str(tmp_path / "none"))
    assert report.problem.reason is folders.Reason.READ_FAILED
    assert not (tmp_path / "none").exists()


def test_apply_before_restore_or_after_close_is_refused(tmp_path):
    folder = storage.open_folder(str(tmp_path / "data"), "a")
    assert (
        folders.reason(folder.apply(folders.BATCHES[0]))
        is folders.Reason.CLOSED
    )
    assert isinstance(folder.restore(), restored_state.RestoredState)
    folder.close()
    assert (
        folders.reason(folder.apply(folders.BATCHES[0]))
        is folders.Reason.CLOSED
    )
