"""Common base of the requests of the entry port and the hop port."""

from typing import Any

from cranberrymux.node import attempt as attempt_module


class Relay:
    """Holds the attempt and the timer of a request; applies backpressure."""

    _attempt: attempt_module.Attempt | None = None
    _timer: Any = None

    def _cancel_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _pause_answer(self) -> None:
        if self._attempt is not None:
            self._attempt.pause()

    def _resume_answer(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()
