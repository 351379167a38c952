"""Why an endpoint was or was not a candidate."""

import enum


class Verdict(enum.Enum):
    """Sentinels for what stood for or against an endpoint.

    Attributes:
        CANDIDATE: It may be chosen.
        NO_PLACE: The place selector does not match its labels.
        DRAINING: It said that it is leaving.
        GONE: It has left.
        EXCLUDED: The call was there already.
        EJECTED: It failed too often.
        LEVEL: It said that it would refuse the call's priority.
    """

    CANDIDATE = "candidate"
    NO_PLACE = "no-place"
    DRAINING = "draining"
    GONE = "gone"
    EXCLUDED = "excluded"
    EJECTED = "ejected"
    LEVEL = "level"
