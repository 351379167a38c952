"""The reply of a callee's node about an attempt whose answer was lost."""

from typing import NamedTuple

from cranberrymux.decisions.answers import vouch_verdict


class Vouch(NamedTuple):
    """Verdict on an attempt, and the time for which it is reliable.

    Attributes:
        verdict: Whether the attempt was handed over or is refused.
        incarnation: Incarnation of the replying node.
        covered_s: Time before the verdict for which the node's record of
            hand-overs is complete.
    """

    verdict: vouch_verdict.VouchVerdict
    incarnation: int
    covered_s: float
