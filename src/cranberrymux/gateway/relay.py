"""What every relayed request has: an attempt, a timer, backpressure."""

from typing import Any

from cranberrymux.gateway import attempt as attempt_module


class Relay:
    """Base of the calls that pass requests and answers on."""

    def __init__(self) -> None:
        """Starts without an attempt."""
        self._attempt: attempt_module.Attempt | None = None
        self._timer: Any = None

    def _cancel_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    def _finish_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _pause(self) -> None:
        if self._attempt is not None:
            self._attempt.pause()

    def _resume(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()
