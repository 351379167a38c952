"""What a callee's node says of an attempt that its caller lost."""

from typing import NamedTuple

from cranberrymux.decisions.answers import vouch_verdict


class Vouch(NamedTuple):
    """The node's word.

    Attributes:
        verdict: What it knows.
        incarnation: Incarnation of the node that says so.
        covered_s: How far back its memory of hand-overs is complete.
    """

    verdict: vouch_verdict.VouchVerdict
    incarnation: int
    covered_s: float
