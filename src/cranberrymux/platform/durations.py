"""Durations in the notation of the platform: a number and its unit."""

from collections.abc import Mapping
import math
import re
from typing import Any

_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_S = 1000


def parse_s(text: Any) -> float:
    """Converts a text such as `1500ms` or `2.5s` to seconds.

    Raises:
        ValueError: The value is not a text of this form, or too large.
    """
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    number = math.inf if match is None else float(match[1])
    if match is None or number == math.inf:
        raise ValueError("expected a duration like 1500ms or 2.5s")
    return number / _MS_PER_S if match[2] == "ms" else number


def read_s(
    values: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a field in seconds.

    Args:
        values: The fields; null counts as missing.
        name: Name of the field.
        default: Value of a missing field; None if it is required.

    Raises:
        ValueError: The field is missing or invalid.
    """
    value = values.get(name)
    if value is None and default is not None:
        return default
    try:
        return parse_s(value)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from error
