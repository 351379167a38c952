"""Reads the files that hold keys and tokens."""

import pathlib

from cranberrymux import exceptions

MINIMUM_KEY_LENGTH = 16
MAXIMUM_KEY_LENGTH = 4096


def read(path: str) -> str:
    """Returns the key in a file, without white space around it.

    Raises:
        SettingsError: The file cannot be read, or the key is too short or
            too long. The error never holds the key.
    """
    try:
        key = pathlib.Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            path, 1, "(file)", "a readable file of ASCII characters"
        ) from error
    if not MINIMUM_KEY_LENGTH <= len(key) <= MAXIMUM_KEY_LENGTH:
        raise exceptions.SettingsError(
            path,
            1,
            "(file)",
            f"a key of {MINIMUM_KEY_LENGTH} to {MAXIMUM_KEY_LENGTH} characters",
        )
    return key
