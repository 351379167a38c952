"""Result of one read of the directory."""

from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Delta(NamedTuple):
    """Records of the requested services, complete or since a revision.

    Attributes:
        revision: Revision to pass to the next read; 0 while the table itself
            is incomplete.
        is_whole: True if `records` is complete, so the reader drops every
            endpoint that is missing from it; False if the reader merges
            `records` into the ones it has.
        records: The records; tombstones are included only if `is_whole` is
            False.
    """

    revision: int
    is_whole: bool
    records: tuple[endpoint_record.EndpointRecord, ...]
