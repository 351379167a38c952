"""Verdict on one endpoint as a candidate for a call."""

import enum


class Verdict(enum.Enum):
    """Whether an endpoint may be chosen, or the first reason against it.

    Attributes:
        CANDIDATE: The endpoint may be chosen.
        NO_PLACE: The place selector does not match the endpoint's labels.
        DRAINING: The endpoint's record or an answer of it says draining.
        GONE: The endpoint's record says gone.
        EXCLUDED: The call must not go to the endpoint, where it already was.
        EJECTED: The endpoint is ejected because of failures.
        LEVEL: By its level, the endpoint would refuse the call's priority.
    """

    CANDIDATE = "candidate"
    NO_PLACE = "no-place"
    DRAINING = "draining"
    GONE = "gone"
    EXCLUDED = "excluded"
    EJECTED = "ejected"
    LEVEL = "level"
