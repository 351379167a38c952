"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What a script may conclude from an exit code.

    Attributes:
        OK: Done.
        DIFFERENT: `diff` found a difference, or `burn` a budget that burns.
        USAGE: Wrong command line or settings.
        CONFLICT: Another change came first.
        INVALID: The document or request was refused.
        UNREACHABLE: No control instance with a quorum answered; a change may
            have been accepted, so send it again with its change id.
        UNCONFIRMED: Accepted, but not in force everywhere in time.
        WRONG_TOKEN: The operators' token was refused.
        NOT_FOUND: The version or node is not there.
    """

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNREACHABLE = 5
    UNCONFIRMED = 6
    WRONG_TOKEN = 7
    NOT_FOUND = 8
