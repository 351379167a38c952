"""One thing that the demo shows."""

from typing import NamedTuple


class Expectation(NamedTuple):
    """A figure and what it was held to.

    Attributes:
        chapter: Part of the story.
        shown: What was seen.
        expected: What was expected.
        holds: True if it was.
    """

    chapter: str
    shown: str
    expected: str
    holds: bool

    def print(self) -> None:
        """Prints the expectation on one line."""
        mark = "ok    " if self.holds else "MISSED"
        print(
            f"{mark} {self.chapter}: {self.shown} (expected {self.expected})",
            flush=True,
        )
