"""Sentinels for what the disk did not do."""

import enum
import errno
from typing import NamedTuple


class StorageFailure(enum.Enum):
    """What went wrong with a data folder.

    Attributes:
        DISK_FULL: No space or quota is left.
        WRITE_FAILED: A write, sync, rename or removal failed.
        READ_FAILED: A file cannot be read.
        CORRUPT: A durable file does not hold what was written.
        UNKNOWN_VERSION: Written by a program of a later format.
        LOCKED: Another process has the folder open.
        WRONG_NAME: The folder belongs to another instance.
        CLOSED: The folder was closed, or failed before.
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
    """In place of a result; nothing of the call may be acknowledged.

    Attributes:
        reason: What went wrong.
        path: File or folder at fault.
        detail: One line for people.
    """

    reason: StorageFailure
    path: str
    detail: str


_FULL = (errno.ENOSPC, errno.EDQUOT)


def of_write(path: str, error: OSError) -> StorageError:
    """Turns an error of the file system into a sentinel, for writes."""
    if error.errno in _FULL:
        return StorageError(StorageFailure.DISK_FULL, path, str(error))
    return StorageError(StorageFailure.WRITE_FAILED, path, str(error))


def of_read(path: str, error: OSError) -> StorageError:
    """Turns an error of the file system into a sentinel, for reads."""
    return StorageError(StorageFailure.READ_FAILED, path, str(error))
