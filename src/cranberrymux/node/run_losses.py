"""Finds out why connections to the backend server broke under its runs."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cranberrymux.models import socket_address
from cranberrymux.node import clock as clock_module
from cranberrymux.node import death_probe

# Time in which another process at the place of the backend server explains why
# connections to it broke.
UNEXPLAINED_S = 6.0
_Result = death_probe.ProbeResult


class _LostRun(NamedTuple):
    """A run whose connection to the backend server broke.

    Attributes:
        ticket_id: Id of the call at admission.
        lost_s: Monotonic seconds at which it broke.
        on_explained: Called with True if the backend server has died.
    """

    ticket_id: str
    lost_s: float
    on_explained: Callable[[bool], None]


def _ignore(is_dead: bool) -> None:
    del is_dead


class RunLosses:
    """Finds out whether a broken connection means a dead backend server.

    When a connection breaks under a run, it tries to connect again. A backend
    server that refuses the connection, or in whose place another process
    announces itself, has died.

    Attributes:
        on_dead: Called when the backend server accepts no connection.
        is_end_planned: Returns True if the backend server is leaving, so that
            its end is no death.
        may_have_ended_abandoned: Returns True if a run that was cancelled may
            explain why the backend server was replaced.
    """

    def __init__(
        self,
        system_clock: clock_module.Clock,
        reactor: Any,
        record_death: Callable[[str, bool], None],
        record_survival: Callable[[str], None],
    ) -> None:
        """Starts without losses.

        Args:
            system_clock: The node's clocks.
            reactor: Opens the connections that probe the backend server.
            record_death: Called with the evidence of a death, and with True if
                it is some seconds ago.
            record_survival: Called with the ticket id of a run that was lost
                for another cause.
        """
        self._clock = system_clock
        self._record_death = record_death
        self._record_survival = record_survival
        self._probe = death_probe.DeathProbe(reactor, self._handle_probe)
        self._lost: list[_LostRun] = []
        self.on_dead: Callable[[], None] = lambda: None
        self.is_end_planned: Callable[[], bool] = lambda: False
        self.may_have_ended_abandoned: Callable[[], bool] = lambda: False

    def add(
        self,
        ticket_id: str,
        address: socket_address.SocketAddress,
        on_explained: Callable[[bool], None] = _ignore,
    ) -> None:
        """Probes the backend server after a connection broke under a run.

        Args:
            ticket_id: Id of the call at admission.
            address: Address of the backend server.
            on_explained: Called once: with True if the backend server has
                died, with False if it accepts connections.
        """
        self._lost.append(
            _LostRun(ticket_id, self._clock.now_s(), on_explained)
        )
        self._probe.start(address)

    def process_replaced(self) -> None:
        """Notes that another process has taken the backend server's place.

        To be called unless its end was planned. A backend server that is back
        soon has not refused the probe.
        """
        self._forget_unexplained()
        if self._lost or self.may_have_ended_abandoned():
            self._report_death("replaced", is_past=True)

    def process_confirmed(self) -> None:
        """Notes that the backend server runs on, or that its end was planned.

        What broke its connections was no death.
        """
        self._end_all(is_dead=False)

    def _handle_probe(self, result: death_probe.ProbeResult) -> None:
        if result is not _Result.ACCEPTED:
            self.on_dead()
        if result is not _Result.REFUSED:
            self._keep_unexplained()
        elif self.is_end_planned():
            self._end_all(is_dead=False)
        else:
            self._report_death("refused-connection", is_past=False)

    def _keep_unexplained(self) -> None:
        """Answers the callers; a new process may still explain the loss."""
        self._forget_unexplained()
        for loss in self._lost:
            loss.on_explained(False)
        self._lost = [
            loss._replace(on_explained=_ignore) for loss in self._lost
        ]

    def _forget_unexplained(self) -> None:
        from_s = self._clock.now_s() - UNEXPLAINED_S
        for loss in self._lost:
            if loss.lost_s < from_s:
                self._record_survival(loss.ticket_id)
        self._lost = [loss for loss in self._lost if loss.lost_s >= from_s]

    def _report_death(self, evidence: str, *, is_past: bool) -> None:
        self._record_death(evidence, is_past)
        self._end_all(is_dead=True)

    def _end_all(self, *, is_dead: bool) -> None:
        lost = self._lost
        self._lost = []
        for loss in lost:
            if not is_dead:
                self._record_survival(loss.ticket_id)
            loss.on_explained(is_dead)
