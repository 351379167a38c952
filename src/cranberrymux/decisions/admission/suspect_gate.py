"""Lets one suspect at a time onto an endpoint, and some of them alone."""

from cranberrymux.decisions.admission import ticket as ticket_module

NORMAL_SHARE = 9.0  # Normal work for each second that such a suspect took.


class SuspectGate:
    """Keeps suspects apart, and others from a suspect that runs alone.

    One suspect is queued or running at a time. While one that runs alone
    waits for an idle endpoint or runs, no other call starts. After each of
    these the endpoint does normal work for a multiple of the time that it
    took, so that they never take more than a stated share of an endpoint.
    """

    def __init__(self) -> None:
        """Starts open."""
        self._suspect_id: str | None = None
        self._waiting: ticket_module.Ticket | None = None
        self._arrived_s = 0.0
        self._expires_s = 0.0
        self._running_id: str | None = None
        self._opens_s = float("-inf")

    @property
    def is_closed(self) -> bool:
        """True while no other call may start."""
        return self._waiting is not None or self._running_id is not None

    @property
    def waiting(self) -> ticket_module.Ticket | None:
        """The suspect that waits for the endpoint to be idle."""
        return self._waiting

    @property
    def arrived_s(self) -> float:
        """When the waiting suspect arrived."""
        return self._arrived_s

    @property
    def expires_s(self) -> float:
        """When the waiting suspect is refused at the latest."""
        return self._expires_s

    def enter(self, ticket_id: str) -> bool:
        """Takes a suspect; False if another is queued or running."""
        if self._suspect_id is not None:
            return False
        self._suspect_id = ticket_id
        return True

    def leave(self, ticket_id: str) -> None:
        """Forgets a call that was refused, cancelled or is finished."""
        if ticket_id == self._suspect_id:
            self._suspect_id = None

    def wait(
        self, now_s: float, ticket: ticket_module.Ticket, expires_s: float
    ) -> bool:
        """Closes the gate for a suspect; False if it may not wait now."""
        is_resting = now_s < self._opens_s
        if self.is_closed or is_resting or expires_s < now_s:
            return False
        self._waiting = ticket
        self._arrived_s = now_s
        self._expires_s = expires_s
        return True

    def start(self, ticket_id: str) -> None:
        """Notes that the suspect runs."""
        self._waiting = None
        self._running_id = ticket_id

    def give_up(self, now_s: float) -> None:
        """Opens the gate without a run."""
        if self._waiting is not None:
            self.leave(self._waiting.ticket_id)
        self._waiting = None
        self._rest(now_s)

    def finish(self, now_s: float, ticket_id: str) -> None:
        """Opens the gate if it was this call that ran alone."""
        self.leave(ticket_id)
        if ticket_id != self._running_id:
            return
        self._running_id = None
        self._rest(now_s)

    def _rest(self, now_s: float) -> None:
        self._opens_s = now_s + NORMAL_SHARE * (now_s - self._arrived_s)
