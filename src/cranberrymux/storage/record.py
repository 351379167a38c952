"""Records of a log segment, each of which contains one entry.

A record contains, in network byte order: the magic number `CREC` (4 bytes),
the body's length (4) and a CRC-32 of the body (4). The body is the segment's
durable size when the record was written (8), the entry's index (8), term (8)
and kind (1), and its payload.
"""

import struct
from typing import NamedTuple
import zlib

from cranberrymux.consensus import entry as entry_module

MAGIC = b"CREC"
MAXIMUM_BODY_BYTES = 1 << 26
_HEADER = struct.Struct(">4sII")
_BODY_PREFIX = struct.Struct(">QQQB")


class Record(NamedTuple):
    """A valid record with its place in the segment.

    Attributes:
        start: Offset of the record's first byte in the segment, bytes.
        end: Offset after the record's last byte, bytes.
        durable_bytes: Size of the segment's durable part when the record was
            written; every record before that offset had been synced.
        entry: The entry that the record contains.
    """

    start: int
    end: int
    durable_bytes: int
    entry: entry_module.Entry


def encode(entry: entry_module.Entry, durable_bytes: int) -> bytes:
    """Returns the record of an entry as bytes.

    Args:
        entry: The entry.
        durable_bytes: Present size of the segment's durable part.
    """
    body = (
        _BODY_PREFIX.pack(
            durable_bytes, entry.log_index, entry.term, entry.kind
        )
        + entry.payload
    )
    return _HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def decode(data: bytes, start: int) -> Record | None:
    """Decodes the record at an offset; None if no whole, valid one is there."""
    body_start = start + _HEADER.size
    if body_start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, start)
    end = body_start + length
    if magic != MAGIC or not _BODY_PREFIX.size <= length <= MAXIMUM_BODY_BYTES:
        return None
    if end > len(data):
        return None
    if zlib.crc32(memoryview(data)[body_start:end]) != checksum:
        return None
    durable_bytes, index, term, kind = _BODY_PREFIX.unpack_from(
        data, body_start
    )
    try:
        known_kind = entry_module.EntryKind(kind)
    except ValueError:
        return None
    payload = data[body_start + _BODY_PREFIX.size : end]
    entry = entry_module.Entry(index, term, known_kind, payload)
    return Record(start, end, durable_bytes, entry)


def proves_durable(data: bytes, offset: int) -> bool:
    """Returns whether a record after `offset` proves that byte was synced.

    A torn write leaves no such record: the records that were written together
    with the damaged one have a durable size that ends before it.
    """
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        found = decode(data, position)
        if found is not None and found.durable_bytes > offset:
            return True
        position = data.find(MAGIC, position + 1)
    return False
