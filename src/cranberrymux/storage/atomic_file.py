"""Small checksummed files that are replaced atomically.

A file contains, in network byte order: the magic number `CMUX` (4 bytes), the
format version (2), the kind of file (2), the body's length (8), a CRC-32 of
kind and body (4) and the body.
"""

from collections.abc import Sequence
import contextlib
import enum
import struct
import zlib

from cranberrymux.storage import failure
from cranberrymux.storage import file_system

MAGIC = b"CMUX"
FORMAT_VERSION = 1
_HEADER = struct.Struct(">4sHHQI")
_TEMPORARY_SUFFIX = ".new"


class FileKind(enum.IntEnum):
    """What an atomic file contains; the value is stored in its header."""

    IDENTITY = 1
    VOTE = 2
    SNAPSHOT = 3


def write(
    files: file_system.FileSystem,
    folder: str,
    name: str,
    kind: FileKind,
    body: Sequence[bytes],
) -> failure.StorageError | None:
    """Replaces a file durably; a crash leaves the old or the new one whole.

    Args:
        files: File system that contains the folder.
        folder: Path of the folder.
        name: Name of the file.
        kind: What the file contains.
        body: The body in parts, which are written one by one without a copy.

    Returns:
        None once the new file survives a power failure, else why it may not.
    """
    path = f"{folder}/{name}"
    try:
        _replace(files, folder, path, (_encode_header(kind, body), *body))
    except OSError as error:
        _free_space(files, path + _TEMPORARY_SUFFIX)
        return failure.from_write_error(path, error)
    return None


def read(
    files: file_system.FileSystem, folder: str, name: str, kind: FileKind
) -> memoryview | failure.StorageError | None:
    """Reads and verifies a file; returns its body, None if there is no file."""
    path = f"{folder}/{name}"
    try:
        if not files.exists(path):
            return None
        data = files.read(path)
    except OSError as os_error:
        return failure.from_read_error(path, os_error)
    error = _find_error(path, kind, data)
    return memoryview(data)[_HEADER.size :] if error is None else error


def remove_temporary_files(
    files: file_system.FileSystem, folder: str
) -> failure.StorageError | None:
    """Removes temporary files whose replacement a crash interrupted."""
    try:
        for name in sorted(files.names(folder)):
            if name.endswith(_TEMPORARY_SUFFIX):
                files.remove(f"{folder}/{name}")
    except OSError as error:
        return failure.from_write_error(folder, error)
    return None


def _free_space(files: file_system.FileSystem, path: str) -> None:
    """Removes a file that was not written whole, if that is possible."""
    with contextlib.suppress(OSError):
        if files.exists(path):
            files.remove(path)


def _find_error(
    path: str, kind: FileKind, data: bytes
) -> failure.StorageError | None:
    if len(data) < _HEADER.size:
        return _corrupt(path, f"{len(data)} bytes, too few for a header")
    magic, version, found_kind, length, checksum = _HEADER.unpack_from(data)
    body = memoryview(data)[_HEADER.size :]
    if magic != MAGIC or found_kind != kind:
        return _corrupt(path, "wrong magic number or kind of file")
    if version != FORMAT_VERSION:
        return failure.StorageError(
            failure.StorageFailure.UNKNOWN_VERSION,
            path,
            f"format version {version}, expected {FORMAT_VERSION}",
        )
    if length != len(body) or checksum != _checksum(kind, (body,)):
        return _corrupt(
            path, "body does not match the length or checksum in the header"
        )
    return None


def _replace(
    files: file_system.FileSystem,
    folder: str,
    path: str,
    parts: Sequence[bytes],
) -> None:
    temporary = path + _TEMPORARY_SUFFIX
    if files.exists(temporary):
        files.remove(temporary)
    file = files.open_append(temporary)
    try:
        for part in parts:
            file.write(part)
        file.sync()
    finally:
        file.close()
    files.replace(temporary, path)
    files.sync_folder(folder)


def _encode_header(kind: FileKind, body: Sequence[bytes]) -> bytes:
    length = sum(map(len, body))
    return _HEADER.pack(
        MAGIC, FORMAT_VERSION, kind, length, _checksum(kind, body)
    )


def _checksum(kind: FileKind, body: Sequence[bytes | memoryview]) -> int:
    checksum: int = kind
    for part in body:
        checksum = zlib.crc32(part, checksum)
    return checksum


def _corrupt(path: str, detail: str) -> failure.StorageError:
    return failure.StorageError(failure.StorageFailure.CORRUPT, path, detail)
