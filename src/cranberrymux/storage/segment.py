"""One log segment: a header and records of consecutive entries.

The header is: the mark `CSEG` (4 bytes), the format version (2), the index
of the first entry (8), a CRC-32 of those (4).
"""

from collections.abc import Sequence
import struct
from typing import NamedTuple
import zlib

from cranberrymux.consensus import entry as entry_module
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import record

MARK = b"CSEG"
FORMAT_VERSION = 1
_HEAD = struct.Struct(">4sHQ")
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _HEAD.size + _CHECKSUM.size


class SegmentContent(NamedTuple):
    """A segment as read.

    Attributes:
        path: The file.
        first_index: Index of its first entry.
        records: Whole records.
        valid_bytes: Offset after the last whole record; 0 if the header
            itself is torn.
        torn_bytes: Bytes behind that, of a write that was never synced.
    """

    path: str
    first_index: int
    records: tuple[record.Record, ...]
    valid_bytes: int
    torn_bytes: int


def header(first_index: int) -> bytes:
    """The bytes before a segment's first record."""
    head = _HEAD.pack(MARK, FORMAT_VERSION, first_index)
    return head + _CHECKSUM.pack(zlib.crc32(head))


def name_of(first_index: int) -> str:
    """File name of a segment."""
    return f"log-{first_index:020d}.seg"


def read(
    files: file_system.FileSystem, path: str, first_index: int, is_last: bool
) -> SegmentContent | failure.StorageError:
    """Reads a segment; only the last one may end in a torn write."""
    try:
        data = files.read(path)
    except OSError as error:
        return failure.of_read(path, error)
    version_error = _check_version(path, data)
    if version_error is not None:
        return version_error
    if data[:HEADER_BYTES] != header(first_index):
        return _torn(path, first_index, data, 0, (), is_last=is_last)
    records: list[record.Record] = []
    offset = HEADER_BYTES
    while offset < len(data):
        found = record.decode(data, offset)
        if found is None:
            break
        if found.entry.log_index != first_index + len(records):
            return _corrupt(path, offset, "entries are not consecutive")
        records.append(found)
        offset = found.end
    if offset == len(data):
        return SegmentContent(path, first_index, tuple(records), offset, 0)
    return _torn(
        path, first_index, data, offset, tuple(records), is_last=is_last
    )


def encode(
    entries: Sequence[entry_module.Entry], durable_bytes: int
) -> list[bytes]:
    """The entries' records, to be written together."""
    return [record.encode(one, durable_bytes) for one in entries]


def _check_version(path: str, data: bytes) -> failure.StorageError | None:
    if len(data) < HEADER_BYTES or data[:4] != MARK:
        return None
    head = data[: _HEAD.size]
    (checksum,) = _CHECKSUM.unpack_from(data, _HEAD.size)
    _, version, _ = _HEAD.unpack(head)
    if checksum != zlib.crc32(head) or version == FORMAT_VERSION:
        return None
    return failure.StorageError(
        failure.StorageFailure.UNKNOWN_VERSION,
        path,
        f"format version {version}, known is {FORMAT_VERSION}",
    )


def _torn(
    path: str,
    first_index: int,
    data: bytes,
    offset: int,
    records: tuple[record.Record, ...],
    *,
    is_last: bool,
) -> SegmentContent | failure.StorageError:
    if not is_last or record.proves_durable(data, offset):
        return _corrupt(path, offset, "a record that was durable is damaged")
    return SegmentContent(
        path, first_index, records, offset, len(data) - offset
    )


def _corrupt(path: str, offset: int, detail: str) -> failure.StorageError:
    return failure.StorageError(
        failure.StorageFailure.CORRUPT, path, f"at byte {offset}: {detail}"
    )
