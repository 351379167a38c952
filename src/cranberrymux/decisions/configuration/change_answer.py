"""The answer to a change."""

from typing import NamedTuple

from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict


class ChangeAnswer(NamedTuple):
    """What the author is told, on the first send and on each resend.

    Attributes:
        verdict: What became of the change.
        record: The accepted change, or the change that won a conflict; None
            if there is none to show.
        detail: One line for people.
    """

    verdict: change_verdict.ChangeVerdict
    record: change_record.ChangeRecord | None
    detail: str
