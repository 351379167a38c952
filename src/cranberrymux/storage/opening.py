"""Opens a data folder, or makes a new one."""

import os
import re

from cranberrymux.storage import atomic_file
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import folder as folder_module
from cranberrymux.storage import local_file_system

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
SEGMENT_BYTES = 1 << 24
_INCARNATION_BYTES = 8
# A mount point may hold names of the file system's own.
_STATE_NAME = re.compile(r"vote|snapshot|log-.*")


def open_folder(
    path: str,
    name: str,
    files: file_system.FileSystem | None = None,
    incarnation: str | None = None,
    segment_bytes: int = SEGMENT_BYTES,
) -> folder_module.Folder | failure.StorageError:
    """Opens the folder of one instance.

    A folder that holds no identity gets one with a new incarnation, so an
    instance that lost its disk comes back as another replica.

    Args:
        path: The folder; made if absent.
        name: The instance's name; letters, digits, `-`, `_` and `.`.
        files: File system; the operating system's by default.
        incarnation: Incarnation for a new folder; random by default.
        segment_bytes: Size at which a new log segment is begun.

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
        return failure.of_write(path, error)
    if lock is None:
        return failure.StorageError(
            failure.StorageFailure.LOCKED, path, "another process has it open"
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
    """The replica id in a folder; None if there is none."""
    body = atomic_file.read(
        files, path, IDENTITY_NAME, atomic_file.FileKind.IDENTITY
    )
    if body is None or isinstance(body, failure.StorageError):
        return body
    return body.decode("utf-8", "replace")


def _open_locked(
    files: file_system.FileSystem,
    path: str,
    lock: file_system.Lock,
    name: str,
    *,
    incarnation: str | None,
    segment_bytes: int,
) -> folder_module.Folder | failure.StorageError:
    error = atomic_file.remove_leftovers(files, path)
    if error is not None:
        return error
    found = read_identity(files, path)
    if isinstance(found, failure.StorageError):
        return found
    is_new = found is None
    if found is None:
        found = _mint(files, path, name, incarnation)
        if isinstance(found, failure.StorageError):
            return found
    if found.partition("@")[0] != name:
        return failure.StorageError(
            failure.StorageFailure.WRONG_NAME, path, f"belongs to {found}"
        )
    return folder_module.Folder(
        files,
        path,
        lock,
        replica_id=found,
        is_new=is_new,
        segment_bytes=segment_bytes,
    )


def _mint(
    files: file_system.FileSystem,
    path: str,
    name: str,
    incarnation: str | None,
) -> str | failure.StorageError:
    try:
        left = sorted(filter(_STATE_NAME.fullmatch, files.names(path)))
        files.sync_folder(os.path.dirname(os.path.abspath(path)))
    except OSError as error:
        return failure.of_write(path, error)
    if left:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            path,
            f"no identity file beside {left[0]}",
        )
    if incarnation is None:
        incarnation = os.urandom(_INCARNATION_BYTES).hex()
    replica_id = f"{name}@{incarnation}"
    written = atomic_file.write(
        files,
        path,
        IDENTITY_NAME,
        atomic_file.FileKind.IDENTITY,
        replica_id.encode(),
    )
    return replica_id if written is None else written
