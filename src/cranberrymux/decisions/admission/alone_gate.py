"""Lets one suspect at a time run alone on an endpoint."""

from cranberrymux.decisions.admission import ticket as ticket_module

NORMAL_SHARE = 3.0  # Normal work for each second that suspects took.


class AloneGate:
    """Holds other calls back while a suspect waits for an idle endpoint.

    One suspect waits at a time, and after each the endpoint does normal work
    for a multiple of the time that the suspect took, so that suspects never
    take more than a stated share of an endpoint.
    """

    def __init__(self) -> None:
        """Starts open."""
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
        self._waiting = None
        self._rest(now_s)

    def finish(self, now_s: float, ticket_id: str) -> None:
        """Opens the gate if it was this call that ran alone."""
        if ticket_id != self._running_id:
            return
        self._running_id = None
        self._rest(now_s)

    def _rest(self, now_s: float) -> None:
        self._opens_s = now_s + NORMAL_SHARE * (now_s - self._arrived_s)
