"""Decodes a long JSON text in steps."""

from collections.abc import Generator
import json
import re
from typing import Any

from cranberrymux.models import strict_json

# Levels of lists and maps whose members are always decoded one by one: those
# of the text, of a table and of its rows.
STEPPED_LEVELS = 3
# Lists and maps below these levels are decoded at once if they are no longer.
SHORT_CHARACTERS = 4096
MEMBERS_PER_STEP = 500
CHARACTERS_PER_STEP = 1 << 16
_SPACES = (" ", "\t", "\n", "\r")
_SPACE = re.compile(r"[ \t\n\r]*")
_Steps = Generator[None, None, tuple[Any, int]]


def load_in_steps(text: str) -> Generator[None, None, Any]:
    """Decodes as `strict_json.load` does, with yields between members.

    Raises:
        ValueError: The text is not valid JSON.
    """
    start = _skip_space(text, 0)
    try:
        value, end = yield from _Decoder(text).load(start, 0)
    except RecursionError:
        raise strict_json.make_depth_error(text, start) from None
    if _skip_space(text, end) != len(text):
        raise json.JSONDecodeError("Extra data", text, end)
    return value


class _Decoder:
    """Decodes one text and counts what was decoded since the last yield."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._member_count = 0
        self._yielded_at = 0

    def load(self, start: int, level: int) -> _Steps:
        """Decodes the value that begins at `start`; returns it and its end.

        Args:
            start: Position of the value in the text.
            level: Number of lists and maps around it.
        """
        loaded = self._load_short(start, level)
        if loaded is not None:
            return loaded
        if level >= strict_json.MAXIMUM_LEVELS:
            raise strict_json.make_depth_error(self._text, start)
        if self._text[start] == "[":
            return (yield from self._load_list(start, level + 1))
        return (yield from self._load_map(start, level + 1))

    def _load_short(self, start: int, level: int) -> tuple[Any, int] | None:
        """Decodes a value at once; None if it is to be decoded in steps."""
        text = self._text
        if text[start : start + 1] not in ("[", "{"):
            return strict_json.load_value(text, start)
        if level < STEPPED_LEVELS:
            return None
        end = start + SHORT_CHARACTERS
        if end >= len(text):
            return strict_json.load_value(text, start)
        try:
            value, length = strict_json.load_value(text[start:end], 0)
        except json.JSONDecodeError:
            return None  # It is longer, or its fault is found in steps.
        return value, start + length

    def _load_list(self, start: int, level: int) -> _Steps:
        values: list[Any] = []
        position, is_closed = self._open(start, "]")
        while not is_closed:
            if self._is_step_over(position):
                yield
            loaded = self._load_short(position, level)
            if loaded is None:
                loaded = yield from self.load(position, level)
            values.append(loaded[0])
            position, is_closed = self._end_member(loaded[1], "]")
        return values, position + 1

    def _load_map(self, start: int, level: int) -> _Steps:
        members: list[tuple[str, Any]] = []
        position, is_closed = self._open(start, "}")
        while not is_closed:
            if self._is_step_over(position):
                yield
            key, position = self._load_key(position)
            value, position = yield from self.load(position, level)
            members.append((key, value))
            position, is_closed = self._end_member(position, "}")
        try:
            return strict_json.make_map(members), position + 1
        except ValueError as error:
            raise json.JSONDecodeError(str(error), self._text, start) from error

    def _is_step_over(self, position: int) -> bool:
        """Counts a member that begins; True if it begins another step."""
        self._member_count += 1
        is_over = (
            self._member_count >= MEMBERS_PER_STEP
            or position - self._yielded_at >= CHARACTERS_PER_STEP
        )
        if is_over:
            self._member_count = 0
            self._yielded_at = position
        return is_over

    def _load_key(self, position: int) -> tuple[str, int]:
        key, end = None, position
        if self._text[position : position + 1] == '"':
            key, end = strict_json.load_value(self._text, position)
        if not isinstance(key, str):
            raise json.JSONDecodeError("Expecting a name", self._text, position)
        return key, self._skip(_skip_space(self._text, end), ":")

    def _open(self, start: int, close: str) -> tuple[int, bool]:
        """Returns the first member's place and whether there is none."""
        position = _skip_space(self._text, start + 1)
        return position, self._text[position : position + 1] == close

    def _end_member(self, position: int, close: str) -> tuple[int, bool]:
        """Returns the next member's place and whether there is none."""
        position = _skip_space(self._text, position)
        if self._text[position : position + 1] == close:
            return position, True
        return self._skip(position, ","), False

    def _skip(self, position: int, expected: str) -> int:
        if self._text[position : position + 1] != expected:
            raise json.JSONDecodeError(
                f"Expecting {expected}", self._text, position
            )
        return _skip_space(self._text, position + 1)


def _skip_space(text: str, position: int) -> int:
    if text[position : position + 1] not in _SPACES:
        return position
    found = _SPACE.match(text, position)
    return position if found is None else found.end()
