"""Outcomes of a configuration change."""

import enum


class ChangeVerdict(enum.Enum):
    """Whether a change created a version, and if not, why.

    Attributes:
        ACCEPTED: The change was committed and created a version.
        CONFLICT: Another change based on the same version was accepted first.
        INVALID: The change can never be accepted.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
