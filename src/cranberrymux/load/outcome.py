"""The checked result of an attempt."""

from typing import NamedTuple

from cranberrymux.load import outcome_kind


class Outcome(NamedTuple):
    """What an attempt came to.

    Attributes:
        kind: The outcome.
        reason: Why, unless it is done.
        retry_after_ms: When the client may come back; None if not told.
        is_final: True if the client was refused and not told to come back.
    """

    kind: outcome_kind.OutcomeKind
    reason: str = ""
    retry_after_ms: float | None = None
    is_final: bool = False
