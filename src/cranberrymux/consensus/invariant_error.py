"""The error of a replica that found its own state impossible."""

from cranberrymux import exceptions


class InvariantError(exceptions.CranberrymuxError):
    """A step would break a guarantee of the log; the replica must stop."""
