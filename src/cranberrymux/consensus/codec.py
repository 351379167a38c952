"""Encodes messages and memberships in the Thrift binary protocol."""

import enum
from typing import Any
from typing import NamedTuple

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cranberrymux.consensus import entry
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import messages
from cranberrymux.wire.gen.consensus import ttypes

MAXIMUM_MESSAGE_BYTES = 1 << 23
_FLAT_MESSAGE_TYPES: dict[str, Any] = {
    "append_answer": messages.AppendAnswer,
    "vote_request": messages.VoteRequest,
    "vote_answer": messages.VoteAnswer,
    "snapshot_answer": messages.SnapshotAnswer,
}
_DECODING_ERRORS = (
    Thrift.TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
)


class DecodeFailure(enum.Enum):
    """Why bytes could not be decoded.

    Attributes:
        TOO_LARGE: The input is longer than the size limit.
        MALFORMED: The input is no valid Thrift encoding, or lacks a required
            field.
        UNKNOWN_KIND: The message is of a kind that this version does not
            know.
    """

    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown-kind"


class DecodeError(NamedTuple):
    """Result of a failed decoding; returned, never raised.

    Attributes:
        reason: Category of the failure.
        detail: One human-readable line with the offending size or error.
    """

    reason: DecodeFailure
    detail: str


def encode_membership(members: membership.Membership) -> bytes:
    """Encodes a membership as the payload of a `MEMBERSHIP` entry."""
    return _write(_membership_struct(members))


def decode_membership(data: bytes) -> membership.Membership | DecodeError:
    """Decodes the payload of a `MEMBERSHIP` entry."""
    struct = _read(ttypes.Membership, data, MAXIMUM_MESSAGE_BYTES)
    if isinstance(struct, DecodeError):
        return struct
    try:
        return _membership_value(struct)
    except _DECODING_ERRORS as error:
        return DecodeError(DecodeFailure.MALFORMED, repr(error))


def encode(message: messages.Message) -> bytes:
    """Encodes a message for sending to another replica."""
    struct = ttypes.Message(
        message.cluster_id, message.sender, message.recipient, message.term
    )
    if isinstance(message, messages.VoteRequest):
        struct.vote_request = ttypes.VoteRequest(
            message.pre_vote, message.last_index, message.last_term
        )
    elif isinstance(message, messages.VoteAnswer):
        struct.vote_answer = ttypes.VoteAnswer(
            message.pre_vote, message.granted
        )
    elif isinstance(message, messages.AppendRequest):
        struct.append_request = ttypes.AppendRequest(
            message.previous_index,
            message.previous_term,
            [ttypes.Entry(*appended) for appended in message.entries],
            message.commit_index,
            message.sent_at_s,
        )
    elif isinstance(message, messages.AppendAnswer):
        struct.append_answer = ttypes.AppendAnswer(*message[4:])
    elif isinstance(message, messages.SnapshotChunk):
        struct.snapshot_chunk = ttypes.SnapshotChunk(*message[4:])
        struct.snapshot_chunk.members = _membership_struct(message.members)
    else:
        struct.snapshot_answer = ttypes.SnapshotAnswer(*message[4:])
    return _write(struct)


def decode(
    data: bytes, maximum_bytes: int = MAXIMUM_MESSAGE_BYTES
) -> messages.Message | DecodeError:
    """Decodes a message that another replica sent; never raises.

    Args:
        data: Bytes as received.
        maximum_bytes: Size limit; longer input is rejected before it is parsed.

    Returns:
        The message, or the reason why it could not be decoded.
    """
    struct = _read(ttypes.Message, data, maximum_bytes)
    if isinstance(struct, DecodeError):
        return struct
    try:
        return _message_value(struct)
    except _DECODING_ERRORS as error:
        return DecodeError(DecodeFailure.MALFORMED, repr(error))


def _message_value(struct: Any) -> messages.Message | DecodeError:
    head = (struct.cluster_id, struct.sender, struct.recipient, struct.term)
    _require_all(list(head))
    for field_name, kind in _FLAT_MESSAGE_TYPES.items():
        body = getattr(struct, field_name)
        if body is not None:
            return kind(*head, *_values(body))
    if struct.append_request is not None:
        return _append_request_value(head, struct.append_request)
    if struct.snapshot_chunk is not None:
        return _snapshot_chunk_value(head, struct.snapshot_chunk)
    return DecodeError(
        DecodeFailure.UNKNOWN_KIND, "no field of a known message kind is set"
    )


def _values(struct: Any) -> list[Any]:
    field_names = [spec[2] for spec in struct.thrift_spec if spec is not None]
    return _require_all(
        [getattr(struct, field_name) for field_name in field_names]
    )


def _require_all(values: list[Any]) -> list[Any]:
    if any(value is None for value in values):
        raise ValueError("a required field is not set")
    return values


def _append_request_value(
    head: tuple[str, str, str, int], struct: Any
) -> messages.AppendRequest:
    entries = tuple(
        _entry_value(*_values(entry_struct))
        for entry_struct in _values(struct)[2]
    )
    return messages.AppendRequest(
        *head,
        struct.previous_index,
        struct.previous_term,
        entries,
        struct.commit_index,
        struct.sent_at_s,
    )


def _entry_value(
    index: int, term: int, kind: int, payload: bytes
) -> entry.Entry:
    return entry.Entry(index, term, entry.EntryKind(kind), payload)


def _snapshot_chunk_value(
    head: tuple[str, str, str, int], struct: Any
) -> messages.SnapshotChunk:
    _values(struct)
    return messages.SnapshotChunk(
        *head,
        struct.log_index,
        struct.snapshot_term,
        _membership_value(struct.members),
        struct.offset,
        struct.total_bytes,
        struct.data,
        struct.sent_at_s,
    )


def _membership_struct(members: membership.Membership) -> Any:
    member_structs = [ttypes.Member(*listed) for listed in members.members]
    return ttypes.Membership(members.cluster_id, member_structs)


def _membership_value(struct: Any) -> membership.Membership:
    cluster_id, member_structs = _values(struct)
    members = tuple(
        member.Member(*_values(member_struct))
        for member_struct in member_structs
    )
    return membership.Membership(cluster_id, members)


def _write(struct: Any) -> bytes:
    transport = TTransport.TMemoryBuffer()
    struct.write(TBinaryProtocol.TBinaryProtocolAccelerated(transport))
    return bytes(transport.getvalue())


def _read(kind: Any, data: bytes, maximum_bytes: int) -> Any:
    if len(data) > maximum_bytes:
        return DecodeError(
            DecodeFailure.TOO_LARGE,
            f"input of {len(data)} bytes exceeds the limit of "
            f"{maximum_bytes} bytes",
        )
    transport = TTransport.TMemoryBuffer(data)
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=maximum_bytes,
        container_length_limit=65536,
    )
    struct = kind()
    try:
        struct.read(protocol)
        struct.validate()
    except _DECODING_ERRORS as error:
        return DecodeError(DecodeFailure.MALFORMED, repr(error))
    return struct
