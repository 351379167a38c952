"""Versions of the configuration, as operators read them."""

from typing import NamedTuple


class Configuration(NamedTuple):
    """One version of the configuration document.

    Attributes:
        version: Number of the version.
        document: YAML text of that version.
    """

    version: int
    document: str
