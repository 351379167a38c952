"""Reads fields of decoded JSON maps by their type and range.

Errors name the field and never its value, which may be a secret.
"""

from collections.abc import Mapping
import math
import re
from typing import Any

MAXIMUM_INTEGER = (1 << 63) - 1  # What messages between processes can hold.
# Control characters would end the headers that carry names, and surrogates
# cannot be encoded.
_UNUSABLE = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")


def read_text(
    values: Mapping[str, Any], name: str, default: str | None = None
) -> str:
    """Returns a text that is not empty and can stand in a header.

    Args:
        values: The fields; null counts as missing.
        name: Name of the field.
        default: Value of a missing field; None if it is required.

    Raises:
        ValueError: The field is missing or invalid.
    """
    value: Any = values.get(name)
    if value is None and default is not None:
        return default
    if not is_usable_text(value):
        raise ValueError(f"{name}: expected a text without control characters")
    assert isinstance(value, str)
    return value


def is_usable_text(value: Any) -> bool:
    """True for a text that is not empty and can stand in a header."""
    if not isinstance(value, str) or not value:
        return False
    if value.isascii() and value.isprintable():
        return True
    return _UNUSABLE.search(value) is None


def read_integer(
    values: Mapping[str, Any],
    name: str,
    default: int | None = None,
    minimum: int = 0,
    maximum: int = MAXIMUM_INTEGER,
) -> int:
    """Returns a number that is written as an integer; see `read_text`.

    Raises:
        ValueError: The field is missing, invalid or out of range.
    """
    value: Any = values.get(name)
    if value is None and default is not None:
        return default
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        raise ValueError(
            f"{name}: expected an integer from {minimum} to {maximum}"
        )
    assert isinstance(value, int)
    return value


def read_whole(
    values: Mapping[str, Any],
    name: str,
    default: int | None = None,
    minimum: int = 0,
    maximum: int = MAXIMUM_INTEGER,
) -> int:
    """Returns a whole number, which may be written as 2.0; see `read_text`.

    Raises:
        ValueError: The field is missing, invalid or out of range.
    """
    value: Any = values.get(name)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return read_integer({name: value}, name, default, minimum, maximum)


def read_number(
    values: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a finite number of at least 0; see `read_text`.

    Raises:
        ValueError: The field is missing, invalid or out of range.
    """
    value: Any = values.get(name)
    if value is None and default is not None:
        return default
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value < math.inf:
        raise ValueError(f"{name}: expected a finite number of at least 0")
    assert isinstance(value, (int, float))
    try:
        return float(value)
    except OverflowError:
        raise ValueError(f"{name}: expected a smaller number") from None


def read_flag(values: Mapping[str, Any], name: str) -> bool:
    """Returns a truth value; False if it is missing.

    Raises:
        ValueError: The field is invalid.
    """
    value: Any = values.get(name)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{name}: expected true or false")
    return bool(value)
