"""The question what became of an attempt, and its answer."""

import json
from typing import TypedDict

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import vouch
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.node import peer_request

TARGET = b"/cranberrymux/v1/vouch"
HEADER = b"cranberrymux-vouch"


class VouchBody(TypedDict):
    """JSON body of a vouch.

    Attributes:
        verdict: Value of a `VouchVerdict`.
        incarnation: Incarnation of the node that vouches.
        covered_s: How far back its memory of hand-overs is complete.
    """

    verdict: str
    incarnation: int
    covered_s: float


def make_question(
    key: attempt_key.AttemptKey, proof: bytes
) -> peer_request.PeerMessage:
    """Makes the question about an attempt.

    Args:
        key: The attempt.
        proof: Proof that the asker is a node.
    """
    value = f"{key.request_id};{key.call_id};{key.attempt}".encode()
    return peer_request.PeerMessage(TARGET, (HEADER, value), proof)


def decode_key(value: bytes) -> attempt_key.AttemptKey | None:
    """Reads the question's header; None if it is not valid."""
    parts = value.decode("latin-1").split(";")
    if len(parts) != len(attempt_key.AttemptKey._fields):
        return None
    if not parts[2].isdigit():
        return None
    return attempt_key.AttemptKey(parts[0], parts[1], int(parts[2]))


def encode_vouch(word: vouch.Vouch) -> bytes:
    """Encodes the answer."""
    body = VouchBody(
        verdict=word.verdict.value,
        incarnation=word.incarnation,
        covered_s=word.covered_s,
    )
    return json.dumps(body).encode()


def decode_vouch(body: bytes | None) -> vouch.Vouch | None:
    """Reads the answer; None if there is none or it is not valid."""
    try:
        values = json.loads(body or b"")
        return vouch.Vouch(
            vouch_verdict.VouchVerdict(values["verdict"]),
            int(values["incarnation"]),
            float(values["covered_s"]),
        )
    except (ValueError, TypeError, KeyError):
        return None
