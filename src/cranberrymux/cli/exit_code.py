"""Exit codes of `cranberrymux`."""

import enum


class ExitCode(enum.IntEnum):
    """Result of a subcommand, for scripts.

    Attributes:
        OK: The subcommand succeeded.
        DIFFERENT: `diff` found a difference, or `burn` found a budget that is
            burning or exhausted.
        USAGE: The command line or the settings are not valid, or a file
            cannot be read.
        CONFLICT: Another change was accepted first.
        INVALID: The document or the request is not valid.
        UNREACHABLE: No control instance with a quorum answered, or the node
            that was asked did not. A change may still have been accepted;
            resend it with its change id.
        UNCONFIRMED: The change was accepted, but was not in force everywhere
            within the wait.
        WRONG_TOKEN: The operators' token was rejected.
        NOT_FOUND: The version, node, route, account or request does not exist.
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
