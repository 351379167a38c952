"""Reads configuration documents from files and standard input."""

import pathlib
import sys

from cranberrymux import exceptions
from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader


def read_text(path: str) -> str:
    """Returns the text of a file, or of standard input if the path is `-`.

    Raises:
        SettingsError: The file cannot be read.
    """
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            path, 1, "(file)", f"a readable file ({error})"
        ) from error


def read_document(path: str) -> tuple[str, document.Document]:
    """Returns the text of a file and the document parsed from it.

    Raises:
        SettingsError: The file cannot be read or is not a valid document.
    """
    text = read_text(path)
    return text, parse(path, text)


def parse(path: str, text: str) -> document.Document:
    """Returns the document parsed from a text.

    Args:
        path: Origin of the text, such as its file, for the error message.
        text: The YAML text.

    Raises:
        SettingsError: The text is not a valid document.
    """
    parsed = document_reader.parse(text)
    if isinstance(parsed, document_error.DocumentError):
        raise exceptions.SettingsError(
            path, parsed.line, parsed.key, parsed.expected
        )
    return parsed
