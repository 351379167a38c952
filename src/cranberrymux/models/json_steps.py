"""Decodes a long JSON text in steps."""

from collections.abc import Generator
import json
import re
from typing import Any

# Levels of lists and maps whose members are decoded one by one: those of the
# text, of a table and of its rows.
STEPPED_LEVELS = 3
MEMBERS_PER_STEP = 500
_SPACE = re.compile(r"[ \t\n\r]*")
_DECODER = json.JSONDecoder()
_Steps = Generator[None, None, tuple[Any, int]]


def load_in_steps(text: str) -> Generator[None, None, Any]:
    """Decodes as `json.loads` does, with yields between members.

    Raises:
        ValueError: The text is not valid JSON.
    """
    value, end = yield from _load(text, _skip_space(text, 0), STEPPED_LEVELS)
    if _skip_space(text, end) != len(text):
        raise json.JSONDecodeError("Extra data", text, end)
    return value


def _load(text: str, start: int, levels: int) -> _Steps:
    """Decodes the value that begins at `start`; returns it and its end."""
    first = text[start : start + 1]
    if levels and first == "[":
        return (yield from _load_members(text, start, levels - 1, False))
    if levels and first == "{":
        return (yield from _load_members(text, start, levels - 1, True))
    return _DECODER.raw_decode(text, start)


def _load_members(text: str, start: int, levels: int, is_map: bool) -> _Steps:
    close = "}" if is_map else "]"
    members: list[Any] = []
    position = _skip_space(text, start + 1)
    is_closed = text[position : position + 1] == close
    while not is_closed:
        if len(members) % MEMBERS_PER_STEP == MEMBERS_PER_STEP - 1:
            yield
        key = ""
        if is_map:
            key, position = _load_key(text, position)
        value, position = yield from _load(text, position, levels)
        members.append((key, value) if is_map else value)
        position = _skip_space(text, position)
        is_closed = text[position : position + 1] == close
        if not is_closed:
            position = _skip(text, position, ",")
    return dict(members) if is_map else members, position + 1


def _load_key(text: str, position: int) -> tuple[str, int]:
    key, end = None, position
    if text[position : position + 1] == '"':
        key, end = _DECODER.raw_decode(text, position)
    if not isinstance(key, str):
        raise json.JSONDecodeError("Expecting a name", text, position)
    return key, _skip(text, _skip_space(text, end), ":")


def _skip(text: str, position: int, expected: str) -> int:
    if text[position : position + 1] != expected:
        raise json.JSONDecodeError(f"Expecting {expected}", text, position)
    return _skip_space(text, position + 1)


def _skip_space(text: str, position: int) -> int:
    found = _SPACE.match(text, position)
    return position if found is None else found.end()
