"""The facts from which a node classifies an attempt."""

from typing import NamedTuple

from cranberrymux.decisions.answers import reach as reach_module
from cranberrymux.decisions.answers import vouch as vouch_module
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class CallEvidence(NamedTuple):
    """What a node knows of one attempt when it answers for it.

    Attributes:
        reach: Where the first byte of the attempt was sent.
        status: HTTP status of the answer; None if no head was received.
        whole: True if the answer was received completely.
        node_kind: `Cranberrymux-Answer` of a peer that proved to be a node;
            None if absent.
        node_reason: `Cranberrymux-Reason` of that peer; None if absent.
        reason: Reason of the node's own answer if no complete one was
            received.
        sent_incarnation: Incarnation of the node that the attempt was sent to.
        age_s: Time from the first byte sent to the receipt of the vouch.
        vouch: What the callee's node confirms of the attempt; None if it gave
            no valid reply.
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
