"""Errors of the storage, returned as values instead of raised."""

import enum
import errno
from typing import NamedTuple


class StorageFailure(enum.Enum):
    """Why a data folder cannot be used; the value is written to logs.

    Attributes:
        DISK_FULL: No space or quota is left, or the file may not grow.
        WRITE_FAILED: A write, sync, rename or removal failed for another
            reason.
        READ_FAILED: A file cannot be read.
        CORRUPT: A durable file does not contain what was written, or is
            missing.
        UNKNOWN_VERSION: A file has an unknown format version.
        LOCKED: Another process has the folder open.
        WRONG_NAME: The folder belongs to another instance.
        CLOSED: The folder is not restored yet, is closed, or failed before.
    """

    DISK_FULL = "disk-full"
    WRITE_FAILED = "write-failed"
    READ_FAILED = "read-failed"
    CORRUPT = "corrupt"
    UNKNOWN_VERSION = "unknown-version"
    LOCKED = "locked"
    WRONG_NAME = "wrong-name"
    CLOSED = "closed"


class StorageError(NamedTuple):
    """Result of a failed call, whose writes must not be acknowledged.

    Attributes:
        reason: Kind of the failure.
        path: File or folder that the failure concerns.
        detail: One line for operators.
    """

    reason: StorageFailure
    path: str
    detail: str

    @property
    def is_disk_full(self) -> bool:
        """True if the write may succeed once there is room."""
        return self.reason is StorageFailure.DISK_FULL


_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


def from_write_error(path: str, error: OSError) -> StorageError:
    """Converts an `OSError` of a write, sync, rename or removal."""
    if error.errno in _DISK_FULL_ERRNOS:
        return StorageError(StorageFailure.DISK_FULL, path, str(error))
    return StorageError(StorageFailure.WRITE_FAILED, path, str(error))


def from_read_error(path: str, error: OSError) -> StorageError:
    """Converts an `OSError` of a read."""
    return StorageError(StorageFailure.READ_FAILED, path, str(error))
