"""Makes the refusal of a call that may crash backend servers."""

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason


def make(deaths: int, *, may_have_run: bool) -> refusal.Refusal:
    """Returns the final refusal of a quarantined call.

    Args:
        deaths: Backend servers that died while they ran the call.
        may_have_run: True if an earlier attempt under the same id may have had
            an effect.
    """
    kind = answer_kind.AnswerKind.NOT_RUN
    if may_have_run:
        kind = answer_kind.AnswerKind.UNKNOWN
    return refusal.Refusal(
        kind,
        refusal_reason.RefusalReason.QUARANTINED,
        f"{deaths} backend servers died while running this call",
    )
