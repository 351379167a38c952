"""Reads documents for the command line."""

import pathlib
import sys

from cranberrymux import exceptions
from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader


def read_text(path: str) -> str:
    """Returns a file's text; `-` is standard input.

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
    """Returns a file's text and the document in it.

    Raises:
        SettingsError: The file cannot be read or is no valid document.
    """
    text = read_text(path)
    return text, parse(path, text)


def parse(path: str, text: str) -> document.Document:
    """Returns the document in a text.

    Args:
        path: Where the text is from, for the error.
        text: YAML.

    Raises:
        SettingsError: The text is no valid document.
    """
    parsed = document_reader.parse(text)
    if isinstance(parsed, document_error.DocumentError):
        raise exceptions.SettingsError(
            path, parsed.line, parsed.key, parsed.expected
        )
    return parsed
