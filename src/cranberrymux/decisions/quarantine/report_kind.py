"""Kinds of reports on suspects."""

import enum


class ReportKind(enum.Enum):
    """What a report says of a call, known by one of its keys.

    Attributes:
        DEATH: It was in flight on a backend server that died.
        SOLE_DEATH: It was the only suspect in flight at that death.
        CLEARED: A death or a trial no longer counts, as a later run of the
            call ended whole.
        TRIAL: It was granted one more run although it was refused.
        TRIAL_ENDED: That run has ended, neither whole nor with a death.
    """

    DEATH = "death"
    SOLE_DEATH = "sole-death"
    CLEARED = "cleared"
    TRIAL = "trial"
    TRIAL_ENDED = "trial-ended"
