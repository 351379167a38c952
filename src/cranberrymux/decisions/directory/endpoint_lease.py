"""The lease of one endpoint."""

from typing import NamedTuple

from cranberrymux.models import endpoint_record


class EndpointLease(NamedTuple):
    """The newest record of an endpoint and when it expires.

    Attributes:
        record: The newest record; a tombstone if its state is `GONE`.
        expires_s: Monotonic time at which the lease ends; for a tombstone,
            the time at which it is removed.
        revision: Directory revision in which the record last changed.
        has_left: True if the endpoint itself announced that it is gone; the
            same record then no longer revives it.
    """

    record: endpoint_record.EndpointRecord
    expires_s: float
    revision: int
    has_left: bool
