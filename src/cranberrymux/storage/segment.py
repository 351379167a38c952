"""One log segment: a header and records of consecutive entries.

The header contains, in network byte order: the magic number `CSEG` (4 bytes),
the format version (2), the index of the first entry (8) and a CRC-32 of these
fields (4).
"""

from collections.abc import Sequence
import struct
from typing import NamedTuple
import zlib

from cranberrymux.consensus import entry as entry_module
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import record

MAGIC = b"CSEG"
FORMAT_VERSION = 1
_CHECKED_HEADER = struct.Struct(">4sHQ")
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _CHECKED_HEADER.size + _CHECKSUM.size


class SegmentContent(NamedTuple):
    """Records of a segment that was read and verified.

    Attributes:
        path: Path of the segment's file.
        first_index: Index of the first entry.
        records: Whole, valid records in the order of their entries.
        valid_bytes: Offset after the last whole record; 0 if the header
            itself is torn.
        torn_bytes: Number of bytes after that, from a write that was never
            synced.
    """

    path: str
    first_index: int
    records: tuple[record.Record, ...]
    valid_bytes: int
    torn_bytes: int


def encode_header(first_index: int) -> bytes:
    """Returns the header of a segment as bytes."""
    checked = _CHECKED_HEADER.pack(MAGIC, FORMAT_VERSION, first_index)
    return checked + _CHECKSUM.pack(zlib.crc32(checked))


def file_name(first_index: int) -> str:
    """Returns the file name of a segment."""
    return f"log-{first_index:020d}.seg"


def read(
    files: file_system.FileSystem, path: str, first_index: int, is_last: bool
) -> SegmentContent | failure.StorageError:
    """Reads and verifies a segment.

    Args:
        files: File system that contains the segment.
        path: Path of the segment's file.
        first_index: Index of the first entry, from the file's name.
        is_last: True for the log's last segment, the only one that may end in
            a torn write.

    Returns:
        The segment's records, or why it cannot be used.
    """
    try:
        data = files.read(path)
    except OSError as error:
        return failure.from_read_error(path, error)
    version_error = _check_version(path, data)
    if version_error is not None:
        return version_error
    if data[:HEADER_BYTES] != encode_header(first_index):
        return _accept_torn_tail(
            path, first_index, data, 0, (), is_last=is_last
        )
    records: list[record.Record] = []
    offset = HEADER_BYTES
    while offset < len(data):
        found = record.decode(data, offset)
        if found is None:
            break
        if found.entry.log_index != first_index + len(records):
            return _corrupt(
                path, offset, "the entry's index does not follow the one before"
            )
        records.append(found)
        offset = found.end
    if offset == len(data):
        return SegmentContent(path, first_index, tuple(records), offset, 0)
    return _accept_torn_tail(
        path, first_index, data, offset, tuple(records), is_last=is_last
    )


def encode(
    entries: Sequence[entry_module.Entry], durable_bytes: int
) -> list[bytes]:
    """Returns the records of entries that are written together."""
    return [record.encode(entry, durable_bytes) for entry in entries]


def _check_version(path: str, data: bytes) -> failure.StorageError | None:
    if len(data) < HEADER_BYTES or data[:4] != MAGIC:
        return None
    checked = data[: _CHECKED_HEADER.size]
    (checksum,) = _CHECKSUM.unpack_from(data, _CHECKED_HEADER.size)
    _, version, _ = _CHECKED_HEADER.unpack(checked)
    if checksum != zlib.crc32(checked) or version == FORMAT_VERSION:
        return None
    return failure.StorageError(
        failure.StorageFailure.UNKNOWN_VERSION,
        path,
        f"format version {version}, expected {FORMAT_VERSION}",
    )


def _accept_torn_tail(
    path: str,
    first_index: int,
    data: bytes,
    offset: int,
    records: tuple[record.Record, ...],
    *,
    is_last: bool,
) -> SegmentContent | failure.StorageError:
    if not is_last or record.proves_durable(data, offset):
        return _corrupt(path, offset, "a durable record is damaged")
    return SegmentContent(
        path, first_index, records, offset, len(data) - offset
    )


def _corrupt(path: str, offset: int, detail: str) -> failure.StorageError:
    return failure.StorageError(
        failure.StorageFailure.CORRUPT, path, f"at byte {offset}: {detail}"
    )
