"""What a node knows of a call when it must answer for it."""

from typing import NamedTuple

from cranberrymux.decisions.answers import reach as reach_module
from cranberrymux.decisions.answers import vouch as vouch_module
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class CallEvidence(NamedTuple):
    """Evidence on one attempt.

    Attributes:
        reach: Where its first byte went.
        status: HTTP status of an answer whose head was read; None if none.
        whole: True if the answer came whole.
        node_kind: `Cranberrymux-Answer` of a peer that proved to be a node;
            None if absent.
        node_reason: `Cranberrymux-Reason` of that peer.
        reason: Why the node answers itself, where no whole answer came.
        sent_incarnation: Incarnation of the node that the call was sent to.
        age_s: Time from the first byte sent to the receipt of the vouch.
        vouch: Word of the callee's node on the attempt; None without one.
    """

    reach: reach_module.Reach
    status: int | None = None
    whole: bool = False
    node_kind: answer_kind.AnswerKind | None = None
    node_reason: refusal_reason.RefusalReason | None = None
    reason: refusal_reason.RefusalReason = (
        refusal_reason.RefusalReason.CONNECTION_LOST
    )
    sent_incarnation: int = 0
    age_s: float = 0.0
    vouch: vouch_module.Vouch | None = None
