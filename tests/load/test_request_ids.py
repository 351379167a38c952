"""Request ids."""

import random
import uuid

from cranberrymux.models import request_ids


def test_layout_and_order():
    generator = random.Random(1)
    made = [
        request_ids.make_request_id(1_700_000_000_000 + ms, generator)
        for ms in range(100)
    ]
    assert made == sorted(made)
    for ms, text in enumerate(made):
        value = uuid.UUID(text)
        assert (value.version, value.variant) == (7, uuid.RFC_4122)
        assert value.int >> 80 == 1_700_000_000_000 + ms
