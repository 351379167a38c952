"""Parses the rate limit that a backend server names in an answer."""

from collections.abc import Sequence
import re
from typing import NamedTuple

_SHOWN_BYTES = 40  # Part of an invalid value that its error shows.
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?\Z")


class RateLimitError(NamedTuple):
    """Result for header values that are not a rate limit.

    Attributes:
        detail: Human-readable cause, one line.
    """

    detail: str


def parse(values: Sequence[bytes]) -> float | RateLimitError | None:
    """Parses the values of all rate limit headers of one answer.

    Args:
        values: Values in the order of the headers.

    Returns:
        Requests a second, above 0.0; None without a header.
    """
    if not values:
        return None
    if len(values) > 1:
        return RateLimitError(f"{len(values)} headers")
    value = values[0]
    per_s = float(value) if _NUMBER.match(value) else 0.0
    if per_s > 0.0:
        return per_s
    return RateLimitError(f"not a decimal above 0: {value[:_SHOWN_BYTES]!r}")
