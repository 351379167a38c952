"""Decodes JSON texts of any origin, and refuses what is not JSON.

The library's decoder also takes `NaN` and `Infinity`, keeps the last of two
members of one name, and raises `RecursionError` for texts nested deeply.
"""

import json
from typing import Any

MAXIMUM_LEVELS = 200  # Of lists and maps in one another.


def load(body: bytes | str) -> Any:
    """Decodes a text.

    Args:
        body: The text; bytes are UTF-8.

    Raises:
        ValueError: The text is not valid JSON, has two members of one name in
            a map, a number of thousands of digits, or more than
            `MAXIMUM_LEVELS` levels.
    """
    text = body.decode() if isinstance(body, bytes) else body
    start = len(text) - len(text.lstrip(" \t\n\r"))
    value, end = load_value(text, start)
    if text[end:].strip(" \t\n\r"):
        raise json.JSONDecodeError("Extra data", text, end)
    return value


def load_value(text: str, start: int) -> tuple[Any, int]:
    """Decodes the value that begins at `start`; returns it and its end.

    Raises:
        ValueError: See `load`.
    """
    try:
        value, end = _DECODER.raw_decode(text, start)
    except RecursionError:
        raise make_depth_error(text, start) from None
    except json.JSONDecodeError:
        raise
    except ValueError as error:
        raise json.JSONDecodeError(str(error), text, start) from error
    # A shorter text has no room for so many brackets.
    if end - start > MAXIMUM_LEVELS and _is_too_deep(value):
        raise make_depth_error(text, start)
    return value, end


def make_map(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a map from its members.

    Raises:
        ValueError: Two members have one name.
    """
    values = dict(members)
    if len(values) != len(members):
        raise ValueError("Two members of a map have one name")
    return values


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON value")


_DECODER = json.JSONDecoder(
    parse_constant=_refuse_constant, object_pairs_hook=make_map
)


def make_depth_error(text: str, start: int) -> json.JSONDecodeError:
    """Returns the error for a text with too many levels."""
    return json.JSONDecodeError(
        f"Expecting at most {MAXIMUM_LEVELS} levels", text, start
    )


def _is_too_deep(value: Any) -> bool:
    nested = [value] if isinstance(value, (list, dict)) else []
    for _ in range(MAXIMUM_LEVELS):
        nested = [
            member
            for each in nested
            for member in (each.values() if isinstance(each, dict) else each)
            if isinstance(member, (list, dict))
        ]
        if not nested:
            return False
    return True
