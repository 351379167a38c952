"""Guards against a caller that is told more than is proven of its call.

A wrong `NOT_RUN` lets the caller run the call twice; a wrong `DONE` hides a
loss. Each case is an attempt whose evidence is complete, partial or absent.
"""

import pytest

from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import reach
from cranberrymux.decisions.answers import vouch
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

Kind = answer_kind.AnswerKind
Reach = reach.Reach
Reason = refusal_reason.RefusalReason
Verdict = vouch_verdict.VouchVerdict
VOUCH = vouch.Vouch(Verdict.REFUSED, 7, 60.0)
NOWHERE = call_evidence.CallEvidence(Reach.NOWHERE)
NODE = call_evidence.CallEvidence(Reach.NODE, 200, True)
BACKEND = call_evidence.CallEvidence(Reach.BACKEND, 200, True)
SHED = NODE._replace(node_kind=Kind.NOT_RUN, node_reason=Reason.OVERLOADED)
LOST = call_evidence.CallEvidence(
    Reach.NODE, sent_incarnation=7, age_s=2.0, vouch=VOUCH
)
HANDED_OVER = VOUCH._replace(verdict=Verdict.HANDED_OVER)
NO_ROOM = VOUCH._replace(verdict=Verdict.CANNOT_VOUCH)
NOT_RUN_LOST = (Kind.NOT_RUN, Reason.CONNECTION_LOST)
UNKNOWN_LOST = (Kind.UNKNOWN, Reason.CONNECTION_LOST)
UNKNOWN_TRUNCATED = (Kind.UNKNOWN, Reason.TRUNCATED)


@pytest.mark.parametrize(
    ("evidence", "changes", "conclusion"),
    [
        (NOWHERE, {}, NOT_RUN_LOST),
        (
            NOWHERE,
            {"reason": Reason.CANCELLED},
            (Kind.NOT_RUN, Reason.CANCELLED),
        ),
        (BACKEND, {}, (Kind.DONE, None)),
        (BACKEND, {"status": 404}, (Kind.DONE, None)),
        (BACKEND, {"status": 503}, (Kind.FAILED, None)),
        (BACKEND, {"whole": False}, UNKNOWN_TRUNCATED),
        (BACKEND, {"status": None}, UNKNOWN_LOST),
        (BACKEND, {"status": None, "vouch": VOUCH}, UNKNOWN_LOST),
        (
            BACKEND,
            {"status": 503, "node_kind": Kind.NOT_RUN},
            (Kind.FAILED, None),
        ),
        (SHED, {}, (Kind.NOT_RUN, Reason.OVERLOADED)),
        (SHED, {"whole": False}, (Kind.NOT_RUN, Reason.OVERLOADED)),
        (NODE, {"node_kind": Kind.DONE}, (Kind.DONE, None)),
        (NODE, {"node_kind": Kind.DONE, "whole": False}, UNKNOWN_TRUNCATED),
        (NODE, {}, UNKNOWN_LOST),
        (LOST, {}, NOT_RUN_LOST),
        (LOST, {"vouch": None}, UNKNOWN_LOST),
        (LOST, {"sent_incarnation": 6}, UNKNOWN_LOST),
        (LOST, {"age_s": 60.0}, UNKNOWN_LOST),
        (LOST, {"status": 200}, UNKNOWN_TRUNCATED),
        (LOST, {"vouch": HANDED_OVER}, UNKNOWN_LOST),
        (LOST, {"vouch": NO_ROOM}, UNKNOWN_LOST),
    ],
)
def test_evidence_gives_the_proven_kind_and_reason(
    evidence, changes, conclusion
):
    assert classifier.classify(evidence._replace(**changes)) == conclusion
