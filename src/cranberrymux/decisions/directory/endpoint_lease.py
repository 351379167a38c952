"""The lease of one endpoint."""

from typing import NamedTuple

from cranberrymux.models import endpoint_record


class EndpointLease(NamedTuple):
    """The newest record of an endpoint and when it expires.

    Attributes:
        record: The newest record; a tombstone if its state is `GONE`.
        expires_s: Monotonic time at which the lease ends or the tombstone is
            removed.
        revision: Revision of the directory in which the record changed.
        has_left: True if the endpoint itself said that it is gone.
    """

    record: endpoint_record.EndpointRecord
    expires_s: float
    revision: int
    has_left: bool
