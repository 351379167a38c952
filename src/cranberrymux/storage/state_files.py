"""The vote and snapshot files' bodies."""

import struct

from cranberrymux.consensus import codec
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import write as write_module

VOTE_NAME = "vote"
SNAPSHOT_NAME = "snapshot"
_TERM = struct.Struct(">Q")
_SNAPSHOT = struct.Struct(">QQI")


def encode_vote(hard_state: write_module.HardState) -> bytes:
    """Term and vote as bytes."""
    return _TERM.pack(hard_state.term) + hard_state.voted_for.encode()


def decode_vote(body: bytes) -> write_module.HardState | None:
    """Term and vote; None if the bytes hold none."""
    try:
        (term,) = _TERM.unpack_from(body)
        return write_module.HardState(term, body[_TERM.size :].decode())
    except (struct.error, UnicodeDecodeError):
        return None


def encode_snapshot(snapshot: snapshot_module.Snapshot) -> bytes:
    """A snapshot as bytes."""
    members = codec.encode_membership(snapshot.members)
    head = _SNAPSHOT.pack(snapshot.log_index, snapshot.term, len(members))
    return head + members + snapshot.data


def decode_snapshot(body: bytes) -> snapshot_module.Snapshot | None:
    """A snapshot; None if the bytes hold none."""
    try:
        index, term, length = _SNAPSHOT.unpack_from(body)
    except struct.error:
        return None
    data_start = _SNAPSHOT.size + length
    members = codec.decode_membership(body[_SNAPSHOT.size : data_start])
    if data_start > len(body) or isinstance(members, codec.DecodeError):
        return None
    return snapshot_module.Snapshot(index, term, members, body[data_start:])
