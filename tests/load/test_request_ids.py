"""Layout of generated request ids.

Guards against ids that are not UUIDs of version 7 or that do not sort by time
of creation, which code that expires ids by age depends on.
"""

import random
import uuid

from cranberrymux.models import request_ids


def test_ids_are_version_7_uuids_that_sort_by_their_milliseconds():
    generator = random.Random(1)
    made = [
        request_ids.make_request_id(1_700_000_000_000 + ms, generator)
        for ms in range(100)
    ]
    assert made == sorted(made)
    for ms, request_id in enumerate(made):
        value = uuid.UUID(request_id)
        assert (value.version, value.variant) == (7, uuid.RFC_4122)
        assert value.int >> 80 == 1_700_000_000_000 + ms
