"""A value, or the beginning of one, in a selector."""

import re
from typing import NamedTuple

_PLAIN = re.compile(r"[A-Za-z0-9_./:@+~%-]+")
_ESCAPED = re.compile(r'(["\\*])')


class ValuePattern(NamedTuple):
    """What a label's value is compared with.

    Attributes:
        text: The value, or how it begins.
        is_prefix: True if values that begin with `text` match.
    """

    text: str
    is_prefix: bool = False

    def matches(self, value: str) -> bool:
        """True if the value matches."""
        if self.is_prefix:
            return value.startswith(self.text)
        return value == self.text

    def __str__(self) -> str:
        """The pattern as the parser reads it."""
        star = "*" if self.is_prefix else ""
        if _PLAIN.fullmatch(self.text):
            return self.text + star
        return '"' + _ESCAPED.sub(r"\\\1", self.text) + star + '"'
