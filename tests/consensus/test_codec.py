"""Encoding and decoding of consensus messages and memberships.

Guards against a field that is lost or swapped on the way to another replica,
and against damaged, cut or foreign bytes that make the decoder raise and so
stop the replica that received them.
"""

import hypothesis
from hypothesis import strategies

from cranberrymux.consensus import codec
from cranberrymux.consensus import entry
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import messages
from tests import profiles

REPRODUCIBLE = hypothesis.settings(profiles.DETERMINISTIC, max_examples=60)
NUMBER = strategies.integers(0, 2**62)
TEXT = strategies.text(max_size=20)
FLAG = strategies.booleans()
TIME = strategies.floats(0, 1e9)
DATA = strategies.binary(max_size=100)
HEAD = (TEXT, TEXT, TEXT, NUMBER)
ENTRY = strategies.builds(
    entry.Entry, NUMBER, NUMBER, strategies.sampled_from(entry.EntryKind), DATA
)
MEMBERS = strategies.builds(
    membership.Membership,
    TEXT,
    strategies.lists(
        strategies.builds(member.Member, TEXT, TEXT, FLAG), max_size=4
    ).map(tuple),
)
ENTRIES = strategies.lists(ENTRY, max_size=4).map(tuple)
MESSAGE = strategies.one_of(
    strategies.builds(messages.VoteRequest, *HEAD, FLAG, NUMBER, NUMBER),
    strategies.builds(messages.VoteAnswer, *HEAD, FLAG, FLAG),
    strategies.builds(
        messages.AppendRequest, *HEAD, NUMBER, NUMBER, ENTRIES, NUMBER, TIME
    ),
    strategies.builds(messages.AppendAnswer, *HEAD, FLAG, NUMBER, NUMBER, TIME),
    strategies.builds(
        messages.SnapshotChunk,
        *(*HEAD, NUMBER, NUMBER, MEMBERS, NUMBER, NUMBER, DATA, TIME),
    ),
    strategies.builds(
        messages.SnapshotAnswer, *HEAD, NUMBER, NUMBER, FLAG, TIME
    ),
)


@REPRODUCIBLE
@hypothesis.given(MESSAGE)
def test_encoded_message_decodes_to_the_same_message(message):
    assert codec.decode(codec.encode(message)) == message


@REPRODUCIBLE
@hypothesis.given(MEMBERS)
def test_encoded_membership_decodes_to_the_same_membership(members):
    assert codec.decode_membership(codec.encode_membership(members)) == members


@REPRODUCIBLE
@hypothesis.given(MESSAGE, strategies.data())
def test_message_with_one_changed_byte_never_raises(message, data):
    encoded = bytearray(codec.encode(message))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    codec.decode(bytes(encoded))
    codec.decode_membership(bytes(encoded))


@REPRODUCIBLE
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data):
    codec.decode(data)
    codec.decode_membership(data)


def test_truncated_message_is_malformed():
    encoded = codec.encode(messages.VoteAnswer("c", "a", "b", 1, True, True))
    for size in range(len(encoded)):
        error = codec.decode(encoded[:size])
        assert error.reason is codec.DecodeFailure.MALFORMED


def test_input_over_the_size_limit_is_too_large():
    error = codec.decode(b"\0" * 11, maximum_bytes=10)
    assert error.reason is codec.DecodeFailure.TOO_LARGE


def test_message_without_body_is_of_unknown_kind():
    encoded = codec.encode(messages.VoteAnswer("c", "a", "b", 1, True, True))
    body_start = encoded.index(b"\x0c\x00\x06")
    error = codec.decode(encoded[:body_start] + b"\x00")
    assert error.reason is codec.DecodeFailure.UNKNOWN_KIND
