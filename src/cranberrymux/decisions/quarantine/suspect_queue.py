"""Keeps suspects on one endpoint apart from each other.

Guards against a crash that takes several suspects with it, after which nobody
can tell which of them was the cause, and against refusing calls that were only
in flight beside it: they wait here for their turn.
"""

import math
from typing import NamedTuple

COOLDOWN_RATIO = 9.0  # Cooldown over the time of an exclusive run.
# Where calls hold their slots for long, the wait for an idle endpoint is most
# of that time. Unbounded, harmless suspects were refused for 9 s after it.
MAXIMUM_COOLDOWN_S = 4.0
# Longest wait for an idle endpoint, in which it serves nobody else.
MAXIMUM_IDLE_WAIT_S = 1.0
MAXIMUM_WAITING = 128


class SuspectTicket(NamedTuple):
    """A suspect that wants to run.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        rank: Order of starting; lower ranks start first.
        start_by_s: Monotonic seconds after which a start is of no use.
        runs_alone: True if no other call may run at the same time.
    """

    ticket_id: int
    rank: float
    start_by_s: float
    runs_alone: bool


class SuspectQueue:
    """Lets suspects start in order, a few beside other calls or one alone.

    While one that runs alone waits for an idle endpoint or is running, the
    queue is closed: the owner starts no other call. One that can no longer
    start leaves its turn to the next that runs alone, as its own time may be
    shorter than that of the calls that have to end before. Afterwards the
    endpoint serves normal calls for a multiple of the time that this took, so
    that exclusive runs take no more than a fixed share of an endpoint, or for
    `MAXIMUM_COOLDOWN_S` if that is shorter.
    """

    def __init__(self) -> None:
        """Starts empty; one suspect may run at a time."""
        self._width = 1
        self._waiting: list[SuspectTicket] = []
        self._running: set[int] = set()
        self._exclusive: SuspectTicket | None = None
        self._is_exclusive_running = False
        self._is_reserved = False
        self._closed_s = 0.0
        self._cooldown_ends_s = -math.inf

    @property
    def is_closed(self) -> bool:
        """True while a call waits to run alone or is running alone."""
        return self._exclusive is not None

    @property
    def waiting(self) -> int:
        """Number of suspects that wait for their turn."""
        return len(self._waiting)

    def set_width(self, width: int) -> None:
        """Sets how many suspects may run at the same time, at least 1."""
        self._width = max(width, 1)

    def can_run_alone(self, now_s: float) -> bool:
        """True unless one runs alone, is to do so next, or has just done so."""
        return (
            not self.is_closed
            and not self._is_reserved
            and now_s >= self._cooldown_ends_s
            and not any(ticket.runs_alone for ticket in self._waiting)
        )

    def reserve(self) -> None:
        """Keeps the next turn of a call that runs alone for one to come.

        The turn would be lost to another suspect and its cooldown otherwise,
        while the owner asks whether the call may run.
        """
        self._is_reserved = True

    def release(self) -> None:
        """Gives up the reservation."""
        self._is_reserved = False

    def offer(self, now_s: float, ticket: SuspectTicket) -> bool:
        """Queues a suspect; False if it cannot get a turn here.

        `take_next` tells when its turn has come.
        """
        if len(self._waiting) >= MAXIMUM_WAITING or ticket.start_by_s < now_s:
            return False
        if ticket.runs_alone and (
            self._is_reserved or now_s < self._cooldown_ends_s
        ):
            return False
        self._waiting.append(ticket)
        self._waiting.sort(
            key=lambda suspect: (suspect.rank, suspect.start_by_s)
        )
        return True

    def take_next(self, now_s: float, running: int) -> SuspectTicket | None:
        """Returns a suspect that starts now; None if none can.

        Args:
            now_s: Monotonic seconds.
            running: Number of calls of any kind that run on the endpoint.
        """
        if self._exclusive is not None:
            return self._start_exclusive(running)
        for ticket in self._waiting:
            if ticket.runs_alone:
                if self._running or now_s < self._cooldown_ends_s:
                    continue
                self._waiting.remove(ticket)
                self._exclusive = ticket
                self._closed_s = now_s
                return self._start_exclusive(running)
            if len(self._running) < self._width:
                self._waiting.remove(ticket)
                self._running.add(ticket.ticket_id)
                return ticket
        return None

    def finish(self, now_s: float, ticket_id: int) -> None:
        """Removes a call that ended, was refused or gave up its turn."""
        self._running.discard(ticket_id)
        self._waiting = [
            suspect
            for suspect in self._waiting
            if suspect.ticket_id != ticket_id
        ]
        if self._exclusive is not None and (
            self._exclusive.ticket_id == ticket_id
        ):
            self._reopen(now_s)

    def pop_expired(self, now_s: float) -> list[int]:
        """Removes and returns the suspects that can no longer start in time."""
        expired = [
            suspect.ticket_id
            for suspect in self._waiting
            if suspect.start_by_s < now_s
        ]
        exclusive = self._exclusive
        if (
            exclusive is not None
            and not self._is_exclusive_running
            and exclusive.start_by_s < now_s
        ):
            expired.append(exclusive.ticket_id)
        for ticket_id in expired:
            self.finish(now_s, ticket_id)
        return expired

    def pop_all(self, now_s: float) -> list[int]:
        """Removes and returns all suspects that wait."""
        popped = [suspect.ticket_id for suspect in self._waiting]
        if self._exclusive is not None and not self._is_exclusive_running:
            popped.append(self._exclusive.ticket_id)
        for ticket_id in popped:
            self.finish(now_s, ticket_id)
        return popped

    def _start_exclusive(self, running: int) -> SuspectTicket | None:
        if self._is_exclusive_running or running:
            return None
        self._is_exclusive_running = True
        return self._exclusive

    def _reopen(self, now_s: float) -> None:
        self._exclusive = self._take_successor(now_s)
        if self._exclusive is not None:
            return
        self._is_exclusive_running = False
        cooldown_s = COOLDOWN_RATIO * (now_s - self._closed_s)
        self._cooldown_ends_s = now_s + min(cooldown_s, MAXIMUM_COOLDOWN_S)

    def _take_successor(self, now_s: float) -> SuspectTicket | None:
        """Takes the suspect that gets the turn of one that did not start."""
        closed_until_s = self._closed_s + MAXIMUM_IDLE_WAIT_S
        if self._is_exclusive_running or now_s >= closed_until_s:
            return None
        for ticket in self._waiting:
            if ticket.runs_alone and ticket.start_by_s >= now_s:
                self._waiting.remove(ticket)
                start_by_s = min(ticket.start_by_s, closed_until_s)
                return ticket._replace(start_by_s=start_by_s)
        return None
