"""Durations in the notation of the platform: a number and its unit."""

import re
from typing import Any

_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_S = 1000


def parse_s(text: Any) -> float:
    """Converts a text such as `1500ms` or `2.5s` to seconds.

    Raises:
        ValueError: The value is not a text of this form.
    """
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(
            f"expected a duration like 1500ms or 2.5s, found {text!r}"
        )
    number = float(match[1])
    return number / _MS_PER_S if match[2] == "ms" else number
