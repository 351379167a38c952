"""Exact values and value prefixes of selector terms."""

import re
from typing import NamedTuple

_UNQUOTED = re.compile(r"[A-Za-z0-9_./:@+~%-]+")
_NEEDS_ESCAPE = re.compile(r'(["\\*])')


class ValuePattern(NamedTuple):
    """A pattern that matches one label value or all values with a prefix.

    Attributes:
        text: The value or the prefix, without escapes.
        is_prefix: True if all values that begin with `text` match; False if
            only `text` itself does.
    """

    text: str
    is_prefix: bool = False

    def matches(self, value: str) -> bool:
        """True if the pattern matches the label value."""
        if self.is_prefix:
            return value.startswith(self.text)
        return value == self.text

    def __str__(self) -> str:
        """Formats the pattern as text that the parser accepts."""
        asterisk = "*" if self.is_prefix else ""
        if _UNQUOTED.fullmatch(self.text):
            return self.text + asterisk
        return '"' + _NEEDS_ESCAPE.sub(r"\\\1", self.text) + asterisk + '"'
