"""Reads the creation time in a request id."""

import uuid

_VERSION = 7
_RANDOM_BITS = 80


def created_ms(request_id: str) -> int | None:
    """Returns the creation time in a UUIDv7.

    Args:
        request_id: Text of the id.

    Returns:
        Unix milliseconds; None if the text is not a UUIDv7 in its canonical
        form.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != _VERSION or str(parsed) != request_id:
        return None
    return parsed.int >> _RANDOM_BITS
