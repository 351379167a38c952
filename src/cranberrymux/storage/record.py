"""Records of a log segment.

A record is, in network byte order: the mark `CREC` (4 bytes), the length of
what follows the checksum (4), a CRC-32 of that (4), and then the segment's
durable size when the record was written (8), the entry's index (8), term (8)
and kind (1), and its payload.
"""

import struct
from typing import NamedTuple
import zlib

from cranberrymux.consensus import entry as entry_module

MARK = b"CREC"
MAX_BODY_BYTES = 1 << 26
_HEAD = struct.Struct(">4sII")
_BODY = struct.Struct(">QQQB")


class Record(NamedTuple):
    """A record as read.

    Attributes:
        start: Offset of its first byte in the segment.
        end: Offset after its last byte.
        durable_bytes: Size of the segment that was durable when it was
            written; every record before that offset had been synced.
        entry: The entry.
    """

    start: int
    end: int
    durable_bytes: int
    entry: entry_module.Entry


def encode(one: entry_module.Entry, durable_bytes: int) -> bytes:
    """An entry's record."""
    body = (
        _BODY.pack(durable_bytes, one.log_index, one.term, one.kind)
        + one.payload
    )
    return _HEAD.pack(MARK, len(body), zlib.crc32(body)) + body


def decode(data: bytes, start: int) -> Record | None:
    """The record at an offset; None if there is no whole, valid one."""
    body_start = start + _HEAD.size
    if body_start > len(data):
        return None
    mark, length, checksum = _HEAD.unpack_from(data, start)
    end = body_start + length
    if mark != MARK or not _BODY.size <= length <= MAX_BODY_BYTES:
        return None
    if end > len(data) or zlib.crc32(data[body_start:end]) != checksum:
        return None
    durable_bytes, index, term, kind = _BODY.unpack_from(data, body_start)
    try:
        known_kind = entry_module.EntryKind(kind)
    except ValueError:
        return None
    payload = data[body_start + _BODY.size : end]
    one = entry_module.Entry(index, term, known_kind, payload)
    return Record(start, end, durable_bytes, one)


def proves_durable(data: bytes, offset: int) -> bool:
    """True if a record behind `offset` shows that the byte there was synced.

    A torn write leaves no such record: records written together with the
    damaged one carry a durable size that ends before it.
    """
    place = data.find(MARK, offset + 1)
    while place >= 0:
        found = decode(data, place)
        if found is not None and found.durable_bytes > offset:
            return True
        place = data.find(MARK, place + 1)
    return False
