"""Messages survive the codec, and no bytes make it raise."""

import hypothesis
from hypothesis import strategies

from cranberrymux.consensus import codec
from cranberrymux.consensus import entry
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import messages

FIXED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
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


@FIXED
@hypothesis.given(MESSAGE)
def test_message_survives(message):
    assert codec.decode(codec.encode(message)) == message


@FIXED
@hypothesis.given(MEMBERS)
def test_membership_survives(members):
    assert codec.decode_membership(codec.encode_membership(members)) == members


@FIXED
@hypothesis.given(MESSAGE, strategies.data())
def test_damaged_bytes_never_raise(message, data):
    encoded = bytearray(codec.encode(message))
    place = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[place] = data.draw(strategies.integers(0, 255))
    codec.decode(bytes(encoded))
    codec.decode_membership(bytes(encoded))


@FIXED
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_never_raise(data):
    codec.decode(data)
    codec.decode_membership(data)


def test_cut_message_is_malformed():
    whole = codec.encode(messages.VoteAnswer("c", "a", "b", 1, True, True))
    for size in range(len(whole)):
        found = codec.decode(whole[:size])
        assert found.reason is codec.DecodeFailure.MALFORMED


def test_too_large_is_refused_unread():
    found = codec.decode(b"\0" * 11, max_bytes=10)
    assert found.reason is codec.DecodeFailure.TOO_LARGE


def test_message_without_a_body_is_of_unknown_kind():
    whole = codec.encode(messages.VoteAnswer("c", "a", "b", 1, True, True))
    body = whole.index(b"\x0c\x00\x06")
    found = codec.decode(whole[:body] + b"\x00")
    assert found.reason is codec.DecodeFailure.UNKNOWN_KIND
