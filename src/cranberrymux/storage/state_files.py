"""Encodes and decodes the bodies of the vote and snapshot files."""

import struct

from cranberrymux.consensus import codec
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import write as write_module

VOTE_NAME = "vote"
SNAPSHOT_NAME = "snapshot"
_TERM = struct.Struct(">Q")
_SNAPSHOT_HEADER = struct.Struct(">QQI")


def encode_vote(hard_state: write_module.HardState) -> bytes:
    """Returns the body of the vote file."""
    return _TERM.pack(hard_state.term) + hard_state.voted_for.encode()


def decode_vote(body: memoryview) -> write_module.HardState | None:
    """Decodes the body of the vote file; None if it is invalid."""
    try:
        (term,) = _TERM.unpack_from(body)
        return write_module.HardState(term, bytes(body[_TERM.size :]).decode())
    except (struct.error, UnicodeDecodeError):
        return None


def encode_snapshot(
    snapshot: snapshot_module.Snapshot,
) -> tuple[bytes, bytes, bytes]:
    """Returns the body of the snapshot file in parts, its data uncopied."""
    members = codec.encode_membership(snapshot.members)
    header = _SNAPSHOT_HEADER.pack(
        snapshot.log_index, snapshot.term, len(members)
    )
    return header, members, snapshot.data


def decode_snapshot(body: memoryview) -> snapshot_module.Snapshot | None:
    """Decodes the body of the snapshot file; None if it is invalid."""
    try:
        index, term, members_bytes = _SNAPSHOT_HEADER.unpack_from(body)
    except struct.error:
        return None
    data_start = _SNAPSHOT_HEADER.size + members_bytes
    members = codec.decode_membership(
        bytes(body[_SNAPSHOT_HEADER.size : data_start])
    )
    if data_start > len(body) or isinstance(members, codec.DecodeError):
        return None
    data = bytes(body[data_start:])
    return snapshot_module.Snapshot(index, term, members, data)
