"""Reads files that hold the cluster key or an operator token."""

import pathlib

from cranberrymux import exceptions

_MINIMUM_CHARACTERS = 16
_MAXIMUM_CHARACTERS = 4096


def read(path: str) -> str:
    """Returns the key in a file, without the white space around it.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: The file cannot be read, or the key is too short or
            too long. The error never contains the key.
    """
    try:
        key = pathlib.Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            path, 1, "(file)", "a readable file of ASCII characters"
        ) from error
    if not _MINIMUM_CHARACTERS <= len(key) <= _MAXIMUM_CHARACTERS:
        raise exceptions.SettingsError(
            path,
            1,
            "(file)",
            f"a key of {_MINIMUM_CHARACTERS} to {_MAXIMUM_CHARACTERS} "
            "characters",
        )
    return key
