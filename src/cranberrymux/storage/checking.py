"""Verifies a data folder offline, without changing it."""

from cranberrymux.storage import check_report
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import folder_content
from cranberrymux.storage import local_file_system
from cranberrymux.storage import opening


def check(
    path: str, files: file_system.FileSystem | None = None
) -> check_report.CheckReport:
    """Reads every file of a folder and verifies every checksum.

    Args:
        path: The folder.
        files: File system; the operating system's by default.

    Returns:
        What was found. The folder is locked during the check.
    """
    if files is None:
        files = local_file_system.LocalFileSystem()
    lock_path = f"{path}/{opening.LOCK_NAME}"
    try:
        if not files.exists(lock_path):
            return _failed_report(
                path,
                failure.StorageFailure.READ_FAILED,
                "no data folder, its lock file is missing",
            )
        lock = files.lock(lock_path)
    except OSError as error:
        return check_report.CheckReport(
            path, problem=failure.from_read_error(path, error)
        )
    if lock is None:
        return _failed_report(
            path,
            failure.StorageFailure.LOCKED,
            "another process has the folder open",
        )
    try:
        return _check_locked(path, files)
    finally:
        lock.release()


def _check_locked(
    path: str, files: file_system.FileSystem
) -> check_report.CheckReport:
    replica_id = opening.read_identity(files, path)
    if isinstance(replica_id, failure.StorageError):
        return check_report.CheckReport(path, problem=replica_id)
    if replica_id is None:
        return _failed_report(
            path, failure.StorageFailure.CORRUPT, "the identity file is missing"
        )
    content = folder_content.read(files, path, replica_id)
    if isinstance(content, failure.StorageError):
        return check_report.CheckReport(path, replica_id, problem=content)
    state = content.state
    first_records = [
        segment.records[0] for segment in content.segments if segment.records
    ]
    last_index = state.entries[-1].log_index if state.entries else 0
    return check_report.CheckReport(
        path,
        replica_id,
        state.hard_state.term,
        state.hard_state.voted_for,
        state.snapshot.log_index,
        len(state.snapshot.data),
        first_records[0].entry.log_index if first_records else 0,
        max(last_index, state.snapshot.log_index),
        len(content.segments),
        sum(segment.torn_bytes for segment in content.segments),
    )


def _failed_report(
    path: str, reason: failure.StorageFailure, detail: str
) -> check_report.CheckReport:
    return check_report.CheckReport(
        path, problem=failure.StorageError(reason, path, detail)
    )
