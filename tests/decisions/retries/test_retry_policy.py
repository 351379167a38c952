"""Decision whether to retry a call after an attempt has ended.

Guards against running a call twice: an attempt whose answer was lost may have
run, so only an idempotent call that is not once-only may be retried then. The
table covers each limit and each kind of answer.
"""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.retries import retry_verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from tests import profiles

Kind = answer_kind.AnswerKind
Reason = refusal_reason.RefusalReason
Verdict = retry_verdict.RetryVerdict
SETTINGS = retry_settings.RetrySettings()
CONTEXT = request_context.RequestContext("id", "1.1", "ann", 900, 1, 5, 1, 1)
ENDED = ended_attempt.EndedAttempt(
    CONTEXT, Kind.NOT_RUN, Reason.OVERLOADED, 900.0, True, 2, True, 1
)


def decide(**changes):
    context = CONTEXT._replace(
        **{
            name: changes.pop(name)
            for name in ("idempotent", "once_only", "attempt")
            if name in changes
        }
    )
    ended = ENDED._replace(context=context, **changes)
    return retry_policy.decide_retry(SETTINGS, ended)


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({}, Verdict.RETRY),
        ({"kind": Kind.DONE, "reason": None}, Verdict.ANSWERED),
        ({"kind": Kind.FAILED, "reason": None}, Verdict.MAY_HAVE_RUN),
        (
            {"kind": Kind.FAILED, "reason": None, "idempotent": True},
            Verdict.RETRY,
        ),
        (
            {"kind": Kind.UNKNOWN, "reason": Reason.CONNECTION_LOST},
            Verdict.MAY_HAVE_RUN,
        ),
        (
            {
                "kind": Kind.UNKNOWN,
                "reason": Reason.CONNECTION_LOST,
                "idempotent": True,
            },
            Verdict.RETRY,
        ),
        (
            {
                "kind": Kind.UNKNOWN,
                "reason": Reason.CONNECTION_LOST,
                "idempotent": True,
                "once_only": True,
            },
            Verdict.MAY_HAVE_RUN,
        ),
        (
            {
                "kind": Kind.UNKNOWN,
                "reason": Reason.DEADLINE_EXPIRED,
                "idempotent": True,
            },
            Verdict.FINAL,
        ),
        ({"reason": Reason.NO_PLACE}, Verdict.FINAL),
        ({"reason": Reason.QUARANTINED}, Verdict.FINAL),
        ({"reason": Reason.DRAINING, "edge_has_retry": False}, Verdict.RETRY),
        ({"overload_refusals": 2}, Verdict.SERVICE_OVERLOADED),
        (
            {"reason": Reason.DRAINING, "overload_refusals": 2},
            Verdict.RETRY,
        ),
        ({"has_parent": False}, Verdict.NO_PARENT),
        ({"budget_left": 0}, Verdict.NO_BUDGET),
        ({"edge_has_retry": False}, Verdict.NO_EDGE_TOKEN),
        ({"timeout_left_ms": 9.0}, Verdict.NO_TIME),
        ({"attempt": 3}, Verdict.MAXIMUM_ATTEMPTS),
    ],
)
def test_verdict_follows_from_the_ended_attempt(changes, verdict):
    assert decide(**changes) is verdict


@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.sampled_from(list(itertools.product(Kind, Reason))),
    strategies.booleans(),
    strategies.booleans(),
    strategies.integers(0, 2),
)
def test_call_that_may_have_run_is_retried_only_if_idempotent(
    ended, once_only, idempotent, budget
):
    kind, reason = ended
    verdict = decide(
        kind=kind,
        reason=reason,
        once_only=once_only,
        idempotent=idempotent,
        budget_left=budget,
    )
    if verdict is Verdict.RETRY:
        assert kind is Kind.NOT_RUN or (idempotent and not once_only)
        assert budget > 0
