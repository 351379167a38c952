"""What became of a change."""

import enum


class ChangeVerdict(enum.Enum):
    """The outcome of a change.

    Attributes:
        ACCEPTED: Committed; it made a version.
        CONFLICT: Another change was built on the same version and won.
        INVALID: It can never be accepted.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
