"""A version of the configuration."""

from typing import NamedTuple


class Configuration(NamedTuple):
    """A version of the document.

    Attributes:
        version: The version.
        document: Its YAML text.
    """

    version: int
    document: str
