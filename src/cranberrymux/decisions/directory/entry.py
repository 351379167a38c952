"""One row of the directory."""

from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Entry(NamedTuple):
    """An endpoint with its lease.

    Attributes:
        record: The newest news.
        expires_s: When the lease ends; for a tombstone, when it is forgotten.
        revision: Revision of the directory in which the record changed.
        has_left: True if the endpoint itself said that it is gone.
    """

    record: endpoint_record.EndpointRecord
    expires_s: float
    revision: int
    has_left: bool
