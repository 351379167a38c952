"""Whoever takes a streamed body."""

from typing import Protocol


class BodySink(Protocol):
    """Takes the parts of a body in order."""

    def body_part(self, part: bytes) -> None:
        """Takes the next bytes."""

    def body_complete(self) -> None:
        """Takes note that the body is whole."""

    def body_aborted(self) -> None:
        """Takes note that the rest of the body will never come."""
