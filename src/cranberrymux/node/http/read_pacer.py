"""Bounds the processor time that peers take with messages that do not end.

Guards against peers that send much framing and little else, such as chunks of
one byte: each stays within the limits, and others wait while it is parsed.
"""

from collections.abc import Callable
import time
from typing import Any

# A read that takes less, as those of usual messages do, is never followed by a
# pause.
COSTLY_READ_S = 0.002
# Part of the processor that costly reads of all connections take together.
PROCESSOR_SHARE = 0.1


class ReadPacer:
    """Makes connections wait after reads that took long."""

    def __init__(
        self, reactor: Any, get_s: Callable[[], float] = time.perf_counter
    ) -> None:
        """Starts without connections that wait.

        Args:
            reactor: Runs the timers.
            get_s: Clock by which reads are timed, in seconds.
        """
        self._reactor = reactor
        self._paced = 0
        self.get_s = get_s

    def begin(self, cost_s: float, on_end: Callable[[], None]) -> Any:
        """Begins the pause that follows a costly read.

        It grows with the number of connections that wait, so that these share
        `PROCESSOR_SHARE`.

        Args:
            cost_s: Time that the read took.
            on_end: Called when it ends.

        Returns:
            The timer, for `cancel`.
        """
        self._paced += 1

        def end() -> None:
            self._paced -= 1
            on_end()

        pause_s = cost_s * self._paced / PROCESSOR_SHARE
        return self._reactor.callLater(pause_s, end)

    def cancel(self, timer: Any) -> None:
        """Ends a pause whose connection has ended."""
        self._paced -= 1
        timer.cancel()
