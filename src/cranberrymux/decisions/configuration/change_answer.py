"""The answer to a configuration change."""

from typing import NamedTuple

from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict


class ChangeAnswer(NamedTuple):
    """What the author receives, on the first send and on each resend.

    Attributes:
        verdict: Outcome of the change.
        record: The accepted change, or the change that won a conflict; None
            if neither exists.
        detail: One-line description for people; empty if accepted.
    """

    verdict: change_verdict.ChangeVerdict
    record: change_record.ChangeRecord | None
    detail: str
