"""Reads the body of a change."""

import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader

MAXIMUM_NAME_LENGTH = 128


class ChangeBodyError(NamedTuple):
    """Why a body is no change.

    Attributes:
        verdict: Always "invalid".
        line: Line of the document, from 1; 0 if it is the body itself.
        key: The key at fault.
        expected: What would have been valid.
    """

    verdict: str
    line: int
    key: str
    expected: str


def read(body: bytes) -> change.Change | ChangeBodyError:
    """Returns the change that a JSON body asks for."""
    try:
        values = json.loads(body)
    except ValueError:
        return _fail("(body)", "JSON of at most 512 KiB")
    fault = _check(values)
    if fault is not None:
        return fault
    parsed = document_reader.parse(values["document"])
    if isinstance(parsed, document_error.DocumentError):
        return ChangeBodyError(
            "invalid", parsed.line, parsed.key, parsed.expected
        )
    return change.Change(
        values["change_id"],
        values["base_version"],
        values["author"],
        values["document"],
        values["rollback_of"],
    )


def _check(values: Any) -> ChangeBodyError | None:
    if not isinstance(values, dict):
        return _fail("(body)", "a map")
    for key in ("change_id", "author", "document"):
        if not isinstance(values.get(key), str):
            return _fail(key, "a text")
    for key in ("change_id", "author"):
        if not 0 < len(values[key]) <= MAXIMUM_NAME_LENGTH:
            return _fail(key, f"a text of 1 to {MAXIMUM_NAME_LENGTH}")
    if not values["document"].strip():
        return _fail("document", "a text that is not empty")
    for key in ("base_version", "rollback_of"):
        if type(values.setdefault(key, 0)) is not int or values[key] < 0:
            return _fail(key, "a whole number of at least 0")
    return None


def _fail(key: str, expected: str) -> ChangeBodyError:
    return ChangeBodyError("invalid", 0, key, expected)
