"""Exceptions that the public functions raise."""


class CranberrymuxError(Exception):
    """Base of every error that this package raises on purpose."""


class SettingsError(CranberrymuxError):
    """A settings file is not valid.

    Attributes:
        path: The file.
        line: Line number, from 1.
        key: The key at fault, dotted.
        expected: What would have been valid.
    """

    def __init__(self, path: str, line: int, key: str, expected: str) -> None:
        """Keeps the place and the expectation."""
        super().__init__(f"{path}:{line}: {key}: expected {expected}")
        self.path = path
        self.line = line
        self.key = key
        self.expected = expected
