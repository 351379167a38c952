"""Encodes the request for a vouch and the vouch that answers it.

The node of a caller that lost an answer asks the callee's node whether the
attempt was handed over to the backend server.
"""

import json
from typing import TypedDict

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import vouch as vouch_module
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.models import json_fields
from cranberrymux.models import strict_json
from cranberrymux.models import whole_number
from cranberrymux.node import peer_request

TARGET = b"/cranberrymux/v1/vouch"
HEADER = b"cranberrymux-vouch"


class VouchBody(TypedDict):
    """JSON body of a vouch.

    Attributes:
        verdict: Value of a `VouchVerdict`.
        incarnation: Incarnation of the node that vouches.
        covered_s: Seconds before the verdict for which the node's record of
            hand-overs is complete.
    """

    verdict: str
    incarnation: int
    covered_s: float


def encode_request(
    key: attempt_key.AttemptKey, cluster_key: bytes
) -> peer_request.PeerMessage:
    """Returns the request for a vouch.

    Args:
        key: Key of the attempt whose answer was lost.
        cluster_key: Cluster key, which proves that the sender is a node.
    """
    value = f"{key.request_id};{key.call_id};{key.attempt}".encode()
    return peer_request.PeerMessage(TARGET, (HEADER, value), cluster_key)


def decode_key(value: bytes) -> attempt_key.AttemptKey | None:
    """Decodes the header of a request; returns None if it is not valid."""
    parts = value.decode("latin-1").split(";")
    if len(parts) != len(attempt_key.AttemptKey._fields):
        return None
    number = whole_number.decode(parts[2].encode("latin-1"))
    if number is None:
        return None
    return attempt_key.AttemptKey(parts[0], parts[1], number)


def encode_vouch(vouch: vouch_module.Vouch) -> bytes:
    """Encodes a vouch as the JSON body of an answer."""
    body = VouchBody(
        verdict=vouch.verdict.value,
        incarnation=vouch.incarnation,
        covered_s=vouch.covered_s,
    )
    return json.dumps(body).encode()


def decode_vouch(body: bytes | None) -> vouch_module.Vouch | None:
    """Decodes the body of an answer; returns None if absent or not valid."""
    try:
        values = strict_json.load(body or b"")
        if not isinstance(values, dict):
            return None
        return vouch_module.Vouch(
            vouch_verdict.VouchVerdict(values.get("verdict")),
            json_fields.read_integer(values, "incarnation"),
            json_fields.read_number(values, "covered_s"),
        )
    except ValueError:
        return None
