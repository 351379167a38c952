"""Generates request ids as UUIDs of version 7."""

import random
import uuid

_VERSION = 7
_VARIANT = 2


def make_request_id(now_unix_ms: int, generator: random.Random) -> str:
    """Generates a UUID of version 7.

    Args:
        now_unix_ms: Current Unix time in milliseconds.
        generator: Source of the 74 random bits.

    Returns:
        The id as text, in the layout of RFC 9562, section 5.7.
    """
    value = (now_unix_ms & ((1 << 48) - 1)) << 80
    value |= _VERSION << 76
    value |= generator.getrandbits(12) << 64
    value |= _VARIANT << 62
    value |= generator.getrandbits(62)
    return str(uuid.UUID(int=value))
