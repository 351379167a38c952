"""Parses the JSON body of a request to change the configuration."""

from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader
from cranberrymux.models import json_fields
from cranberrymux.models import strict_json

MAXIMUM_NAME_CHARACTERS = 128


class ChangeBodyError(NamedTuple):
    """Location of a body's first error, as it is sent back to the operator.

    Attributes:
        verdict: Always "invalid".
        line: Line number in the document, from 1; 0 if the error is in the
            JSON body around it.
        key: The invalid key of the document or of the body; `(body)` for the
            whole body.
        expected: Description of what would have been valid.
    """

    verdict: str
    line: int
    key: str
    expected: str


def parse(body: bytes) -> change.Change | ChangeBodyError:
    """Returns the requested change, or the body's first error.

    Args:
        body: The JSON body as received.
    """
    try:
        fields = strict_json.load(body)
    except ValueError:
        return _make_error("(body)", "JSON of at most 512 KiB")
    error = _find_error(fields)
    if error is not None:
        return error
    parsed = document_reader.parse(fields["document"])
    if isinstance(parsed, document_error.DocumentError):
        return ChangeBodyError(
            "invalid", parsed.line, parsed.key, parsed.expected
        )
    return change.Change(
        fields["change_id"],
        fields["base_version"],
        fields["author"],
        fields["document"],
        fields["rollback_of"],
    )


def _find_error(fields: Any) -> ChangeBodyError | None:
    if not isinstance(fields, dict):
        return _make_error("(body)", "a map")
    for key in ("change_id", "author", "document"):
        if not isinstance(fields.get(key), str):
            return _make_error(key, "a text")
    for key in ("change_id", "author"):
        is_usable = json_fields.is_usable_text(fields[key])
        if not is_usable or len(fields[key]) > MAXIMUM_NAME_CHARACTERS:
            return _make_error(
                key, f"a text of 1 to {MAXIMUM_NAME_CHARACTERS} characters"
            )
    if not fields["document"].strip():
        return _make_error("document", "a text that is not empty")
    for key in ("base_version", "rollback_of"):
        if type(fields.setdefault(key, 0)) is not int or not (
            0 <= fields[key] <= json_fields.MAXIMUM_INTEGER
        ):
            return _make_error(key, "a whole number of at least 0")
    return None


def _make_error(key: str, expected: str) -> ChangeBodyError:
    return ChangeBodyError("invalid", 0, key, expected)
