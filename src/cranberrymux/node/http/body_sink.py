"""Interface of the receiver of a streamed request body."""

from typing import Protocol


class BodySink(Protocol):
    """Receives a request body in order, as it is read from the client.

    The last event is `body_complete` or `body_aborted`.
    """

    def body_part(self, part: bytes) -> None:
        """Takes the next bytes of the body, without their chunk framing."""

    def body_complete(self) -> None:
        """Takes note that the whole body was received."""

    def body_aborted(self) -> None:
        """Takes note that the client disconnected before the body's end."""
