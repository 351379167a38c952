"""Small files that are replaced whole or not at all.

A file is: the mark `CMUX` (4 bytes), the format version (2), the kind of
file (2), the body's length (8), a CRC-32 of kind and body (4), the body.
"""

import enum
import struct
import zlib

from cranberrymux.storage import failure
from cranberrymux.storage import file_system

MARK = b"CMUX"
FORMAT_VERSION = 1
_HEAD = struct.Struct(">4sHHQI")
_SUFFIX = ".new"


class FileKind(enum.IntEnum):
    """What an atomic file holds."""

    IDENTITY = 1
    VOTE = 2
    SNAPSHOT = 3


def write(
    files: file_system.FileSystem,
    folder: str,
    name: str,
    kind: FileKind,
    body: bytes,
) -> failure.StorageError | None:
    """Replaces a file durably; at any crash the old or the new one stands."""
    path = f"{folder}/{name}"
    try:
        _write(files, folder, path, _head(kind, body) + body)
    except OSError as error:
        return failure.of_write(path, error)
    return None


def read(
    files: file_system.FileSystem, folder: str, name: str, kind: FileKind
) -> bytes | failure.StorageError | None:
    """The body of a file; None if there is none."""
    path = f"{folder}/{name}"
    try:
        if not files.exists(path):
            return None
        data = files.read(path)
    except OSError as error:
        return failure.of_read(path, error)
    problem = _check(path, kind, data)
    return data[_HEAD.size :] if problem is None else problem


def remove_leftovers(
    files: file_system.FileSystem, folder: str
) -> failure.StorageError | None:
    """Removes files that a crash left before their rename."""
    try:
        for name in sorted(files.names(folder)):
            if name.endswith(_SUFFIX):
                files.remove(f"{folder}/{name}")
    except OSError as error:
        return failure.of_write(folder, error)
    return None


def _check(
    path: str, kind: FileKind, data: bytes
) -> failure.StorageError | None:
    if len(data) < _HEAD.size:
        return _corrupt(path, f"{len(data)} bytes are too short")
    mark, version, found_kind, length, checksum = _HEAD.unpack_from(data)
    body = data[_HEAD.size :]
    if mark != MARK or found_kind != kind:
        return _corrupt(path, "not a file of this kind")
    if version != FORMAT_VERSION:
        return failure.StorageError(
            failure.StorageFailure.UNKNOWN_VERSION,
            path,
            f"format version {version}, known is {FORMAT_VERSION}",
        )
    if length != len(body) or checksum != _checksum(kind, body):
        return _corrupt(path, "length or checksum does not match")
    return None


def _write(
    files: file_system.FileSystem, folder: str, path: str, data: bytes
) -> None:
    temporary = path + _SUFFIX
    if files.exists(temporary):
        files.remove(temporary)
    file = files.open_append(temporary)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    files.replace(temporary, path)
    files.sync_folder(folder)


def _head(kind: FileKind, body: bytes) -> bytes:
    return _HEAD.pack(
        MARK, FORMAT_VERSION, kind, len(body), _checksum(kind, body)
    )


def _checksum(kind: FileKind, body: bytes) -> int:
    return zlib.crc32(body, kind)


def _corrupt(path: str, detail: str) -> failure.StorageError:
    return failure.StorageError(failure.StorageFailure.CORRUPT, path, detail)
