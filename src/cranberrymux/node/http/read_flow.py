"""When a connection reads from its client, and when it lets it wait."""

from collections.abc import Callable
from typing import Any

from cranberrymux.node.http import read_pacer


class ReadFlow:
    """Pauses and resumes the reads of one connection.

    Attributes:
        is_paused: True while nothing is read.
        is_body_paused: True while nobody takes the body that is read.
        is_send_buffer_full: True while the client does not read its answers.
        is_paced: True during the pause after a costly read.
    """

    def __init__(
        self,
        pacer: read_pacer.ReadPacer | None,
        on_pause_ended: Callable[[], None],
    ) -> None:
        """Starts reading.

        Args:
            pacer: Makes connections wait after costly reads; None for no such
                pauses.
            on_pause_ended: Called when such a pause ends.
        """
        self._pacer = pacer
        self._on_pause_ended: Callable[[], None] | None = on_pause_ended
        self._timer: Any = None
        self.is_paused = False
        self.is_body_paused = False
        self.is_send_buffer_full = False
        self.is_paced = False

    def update(self, transport: Any, *, is_behind: bool) -> None:
        """Pauses or resumes the transport if that has changed.

        Args:
            transport: Transport of the connection.
            is_behind: True if much was read that cannot be parsed yet.
        """
        is_paused = self.is_body_paused or self.is_paced or is_behind
        if is_paused == self.is_paused:
            return
        self.is_paused = is_paused
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def start_timing(self) -> float:
        """Returns the time at which a read begins; 0.0 if it does not count."""
        return 0.0 if self._pacer is None else self._pacer.get_s()

    def end_timing(self, began_s: float) -> bool:
        """Begins a pause if a read was costly; returns whether it did."""
        if self._pacer is None or self.is_paced:
            return False
        cost_s = self._pacer.get_s() - began_s
        if cost_s < read_pacer.COSTLY_READ_S:
            return False
        self.is_paced = True
        self._timer = self._pacer.begin(cost_s, self._end_pause)
        return True

    def release(self) -> None:
        """Ends a pause and lets go of the connection, which has ended."""
        self._on_pause_ended = None
        if self._timer is not None and self._pacer is not None:
            self._pacer.cancel(self._timer)
            self._timer = None

    def _end_pause(self) -> None:
        self._timer = None
        self.is_paced = False
        if self._on_pause_ended is not None:
            self._on_pause_ended()
