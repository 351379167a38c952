"""Describes the keys that a settings file may have."""

import enum
from typing import Any
from typing import NamedTuple


class Kind(enum.Enum):
    """Type of a key's value; the text names it in error messages."""

    TEXT = "text"
    INTEGER = "whole number"
    NUMBER = "number"
    FLAG = "true or false"
    TEXT_LIST = "list of texts"
    ADDRESS_LIST = "list of ip:port"
    TEXT_MAP = "map of text to text"
    MAP_LIST = "list of maps"


class _Required(enum.Enum):
    REQUIRED = "required"


REQUIRED = _Required.REQUIRED


class Field(NamedTuple):
    """The name, type, unit, range and default of one key.

    Attributes:
        name: The key. Keys of durations end in `_ms` or `_s`, those of sizes in
            `_bytes`.
        kind: Required type of the value.
        default: Value if the key is absent; `REQUIRED` if it must be present.
        minimum: Smallest number, or length of a text, list or map; None for no
            limit.
        maximum: Largest number, or length of a text, list or map; None for no
            limit.
        choices: Allowed texts; empty if any is.
        item_fields: Fields of each map, for `Kind.MAP_LIST`.
    """

    name: str
    kind: Kind
    default: Any = REQUIRED
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    item_fields: tuple["Field", ...] = ()
