"""Exceptions of the public API and of settings files."""


class CranberrymuxError(Exception):
    """Base class of the errors that this package reports to its callers."""


class SettingsError(CranberrymuxError):
    """A settings file cannot be read or has an invalid key or value.

    Attributes:
        path: Path of the settings file.
        line: Line number, from 1.
        key: Dotted path of the invalid key; `(file)` for the whole file.
        expected: What would have been valid there, as words.
    """

    def __init__(self, path: str, line: int, key: str, expected: str) -> None:
        """Builds the message `PATH:LINE: KEY: expected EXPECTED`."""
        super().__init__(f"{path}:{line}: {key}: expected {expected}")
        self.path = path
        self.line = line
        self.key = key
        self.expected = expected
