"""Request ids by the layout of RFC 9562, version 7."""

import random
import uuid

_VERSION = 7 << 76
_VARIANT = 2 << 62


def generate(unix_ms: int, generator: random.Random) -> str:
    """Makes a UUID that sorts by its time.

    Args:
        unix_ms: Unix time in milliseconds.
        generator: Source of the 74 random bits.
    """
    value = (unix_ms & (1 << 48) - 1) << 80
    value |= _VERSION
    value |= generator.getrandbits(12) << 64
    value |= _VARIANT
    value |= generator.getrandbits(62)
    return str(uuid.UUID(int=value))
