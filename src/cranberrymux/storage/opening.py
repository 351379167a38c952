"""Opens the data folder of an instance; creates it if it is missing."""

import os
import re

from cranberrymux.storage import atomic_file
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import folder as folder_module
from cranberrymux.storage import local_file_system

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
SEGMENT_BYTES = 1 << 22
_INCARNATION_BYTES = 8
# Replica state; a mount point may also contain names of the file system's own.
_STATE_NAME = re.compile(r"vote|snapshot|log-.*")


def open_folder(
    path: str,
    name: str,
    files: file_system.FileSystem | None = None,
    incarnation: str | None = None,
    segment_bytes: int = SEGMENT_BYTES,
) -> folder_module.Folder | failure.StorageError:
    """Opens the data folder of one instance.

    A folder without an identity and a replica's state gets an identity with a
    new incarnation, so an instance that lost its disk returns as another
    replica.

    Args:
        path: The folder; created if it is missing.
        name: The instance's name: letters, digits, `-`, `_` and `.`.
        files: File system; the operating system's by default.
        incarnation: Incarnation of a new folder; random by default.
        segment_bytes: Size at which a new log segment is started.

    Returns:
        The folder, locked against other processes until `close`, or why it
        cannot be used.
    """
    if files is None:
        files = local_file_system.LocalFileSystem()
    try:
        files.make_folder(path)
        lock = files.lock(f"{path}/{LOCK_NAME}")
    except OSError as error:
        return failure.from_write_error(path, error)
    if lock is None:
        return failure.StorageError(
            failure.StorageFailure.LOCKED,
            path,
            "another process has the folder open",
        )
    opened = _open_locked(
        files,
        path,
        lock,
        name,
        incarnation=incarnation,
        segment_bytes=segment_bytes,
    )
    if isinstance(opened, failure.StorageError):
        lock.release()
    return opened


def read_identity(
    files: file_system.FileSystem, path: str
) -> str | failure.StorageError | None:
    """Returns the replica id in a folder; None if it has no identity file."""
    body = atomic_file.read(
        files, path, IDENTITY_NAME, atomic_file.FileKind.IDENTITY
    )
    if body is None or isinstance(body, failure.StorageError):
        return body
    return bytes(body).decode("utf-8", "replace")


def _open_locked(
    files: file_system.FileSystem,
    path: str,
    lock: file_system.Lock,
    name: str,
    *,
    incarnation: str | None,
    segment_bytes: int,
) -> folder_module.Folder | failure.StorageError:
    error = atomic_file.remove_temporary_files(files, path)
    if error is not None:
        return error
    replica_id = read_identity(files, path)
    if isinstance(replica_id, failure.StorageError):
        return replica_id
    is_new = replica_id is None
    if replica_id is None:
        replica_id = _create_identity(files, path, name, incarnation)
        if isinstance(replica_id, failure.StorageError):
            return replica_id
    if replica_id.partition("@")[0] != name:
        return failure.StorageError(
            failure.StorageFailure.WRONG_NAME,
            path,
            f"the folder belongs to replica {replica_id}",
        )
    return folder_module.Folder(
        files,
        path,
        lock,
        replica_id=replica_id,
        is_new=is_new,
        segment_bytes=segment_bytes,
    )


def _create_identity(
    files: file_system.FileSystem,
    path: str,
    name: str,
    incarnation: str | None,
) -> str | failure.StorageError:
    try:
        state_names = sorted(filter(_STATE_NAME.fullmatch, files.names(path)))
        files.sync_folder(os.path.dirname(os.path.abspath(path)))
    except OSError as os_error:
        return failure.from_write_error(path, os_error)
    if state_names:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            path,
            f"the identity file is missing, but {state_names[0]} exists",
        )
    if incarnation is None:
        incarnation = os.urandom(_INCARNATION_BYTES).hex()
    replica_id = f"{name}@{incarnation}"
    error = atomic_file.write(
        files,
        path,
        IDENTITY_NAME,
        atomic_file.FileKind.IDENTITY,
        (replica_id.encode(),),
    )
    return replica_id if error is None else error
