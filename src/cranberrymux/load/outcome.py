"""The outcome of an attempt after its response was validated."""

from typing import NamedTuple

from cranberrymux.load import outcome_kind


class Outcome(NamedTuple):
    """The outcome of an attempt and whether it may be sent again.

    Attributes:
        kind: Classification of the outcome.
        reason: Reason in words for the report; empty if the kind is `DONE`.
        retry_after_ms: Delay that the response asks for before a resend; None
            if it names none.
        is_final: True if the request was refused without such a delay.
    """

    kind: outcome_kind.OutcomeKind
    reason: str = ""
    retry_after_ms: float | None = None
    is_final: bool = False
