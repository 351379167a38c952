"""Raised when a replica's state violates a guarantee of the log."""

from cranberrymux import exceptions


class InvariantError(exceptions.CranberrymuxError):
    """A step would violate a guarantee of the log; the replica must stop."""
