"""One key of a settings file."""

import enum
from typing import Any
from typing import NamedTuple


class Kind(enum.Enum):
    """The type of a setting's value."""

    TEXT = "text"
    INTEGER = "whole number"
    NUMBER = "number"
    FLAG = "true or false"
    TEXT_LIST = "list of texts"
    ADDRESS_LIST = "list of ip:port"
    TEXT_MAP = "map of text to text"
    ITEMS = "list of maps"


class _Required(enum.Enum):
    REQUIRED = "required"


REQUIRED = _Required.REQUIRED


class Field(NamedTuple):
    """The name, type, unit, range and default of one key.

    Attributes:
        name: The key. Durations end in `_ms` or `_s`, sizes in `_bytes`.
        kind: Type of the value.
        default: Value when the key is absent; `REQUIRED` if it must stand.
        minimum: Lowest number, or shortest length of a text or list.
        maximum: Highest number, or greatest length of a text or list.
        choices: Texts allowed; empty for any.
        items: Fields of each map, for `Kind.ITEMS`.
    """

    name: str
    kind: Kind
    default: Any = REQUIRED
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    items: tuple["Field", ...] = ()
