"""Limits an endpoint to one suspect call, which may have to run alone."""

from cranberrymux.decisions.admission import ticket as ticket_module

COOLDOWN_RATIO = 9.0  # Cooldown over the time of an exclusive run.


class SuspectGate:
    """Keeps suspects apart, and other calls away from one that runs alone.

    A suspect is a call that may have crashed a backend server. At most one is
    queued or running. While one that must run alone waits for an idle endpoint
    or is running, no other call starts. Afterwards the endpoint serves normal
    calls for a multiple of the time that this took, so that exclusive runs
    never take more than a fixed share of an endpoint.
    """

    def __init__(self) -> None:
        """Starts open, without a suspect."""
        self._suspect_id: str | None = None
        self._waiting: ticket_module.Ticket | None = None
        self._arrived_s = 0.0
        self._expires_s = 0.0
        self._running_id: str | None = None
        self._cooldown_ends_s = float("-inf")

    @property
    def is_closed(self) -> bool:
        """True while a suspect waits to run alone or is running alone."""
        return self._waiting is not None or self._running_id is not None

    @property
    def waiting(self) -> ticket_module.Ticket | None:
        """The suspect that waits for the endpoint to become idle, if any."""
        return self._waiting

    @property
    def arrived_s(self) -> float:
        """Monotonic seconds at which the waiting suspect arrived."""
        return self._arrived_s

    @property
    def expires_s(self) -> float:
        """Monotonic seconds from which the waiting suspect is refused."""
        return self._expires_s

    def register(self, ticket_id: str) -> bool:
        """Registers a suspect; False if another one is queued or running."""
        if self._suspect_id is not None:
            return False
        self._suspect_id = ticket_id
        return True

    def unregister(self, ticket_id: str) -> None:
        """Unregisters a call that was refused, cancelled or has finished."""
        if ticket_id == self._suspect_id:
            self._suspect_id = None

    def wait_exclusive(
        self, now_s: float, ticket: ticket_module.Ticket, expires_s: float
    ) -> bool:
        """Closes the gate for a suspect that must run alone.

        Returns:
            False if the gate is closed, during the cooldown after the last such
            suspect, or if the wait would have expired already.
        """
        is_cooling_down = now_s < self._cooldown_ends_s
        if self.is_closed or is_cooling_down or expires_s < now_s:
            return False
        self._waiting = ticket
        self._arrived_s = now_s
        self._expires_s = expires_s
        return True

    def start_exclusive(self, ticket_id: str) -> None:
        """Records that the waiting suspect is now running alone."""
        self._waiting = None
        self._running_id = ticket_id

    def cancel_wait(self, now_s: float) -> None:
        """Ends the wait without a run and starts the cooldown."""
        if self._waiting is not None:
            self.unregister(self._waiting.ticket_id)
        self._waiting = None
        self._begin_cooldown(now_s)

    def finish(self, now_s: float, ticket_id: str) -> None:
        """Unregisters a finished call; reopens the gate if it ran alone."""
        self.unregister(ticket_id)
        if ticket_id != self._running_id:
            return
        self._running_id = None
        self._begin_cooldown(now_s)

    def _begin_cooldown(self, now_s: float) -> None:
        self._cooldown_ends_s = now_s + COOLDOWN_RATIO * (
            now_s - self._arrived_s
        )
