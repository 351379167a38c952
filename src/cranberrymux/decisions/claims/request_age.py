"""The age that a UUIDv7 tells."""

import uuid

_VERSION = 7
_RANDOM_BITS = 80


def created_ms(request_id: str) -> int | None:
    """Returns the Unix milliseconds in a UUIDv7; None for any other text."""
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != _VERSION or str(parsed) != request_id:
        return None
    return parsed.int >> _RANDOM_BITS
