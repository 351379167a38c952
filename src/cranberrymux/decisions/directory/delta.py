"""What changed in the directory."""

from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Delta(NamedTuple):
    """Records of the services asked for.

    Attributes:
        revision: Revision to ask from the next time.
        is_whole: True if `records` is all there is, and what is not in it is
            gone; False if it only adds to what the asker has.
        records: Changed records; tombstones among them only in a delta.
    """

    revision: int
    is_whole: bool
    records: tuple[endpoint_record.EndpointRecord, ...]
