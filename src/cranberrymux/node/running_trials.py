"""Trials that the backend server beside this node runs, or may still run."""

from collections.abc import Callable

from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.node import clock as clock_module

_Report = suspect_report.SuspectReport


class RunningTrials:
    """Ends each trial once it is certain that it met no death.

    A trial that was cancelled may still crash its backend server, whose death
    shows only once another process announces itself. So it ends when the same
    process announces itself some time later.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        linger_s: float,
        end_trial: Callable[[_Report], None],
    ) -> None:
        """Starts without trials.

        Args:
            clock: The node's clock.
            linger_s: Seconds for which a run that was cancelled may still
                crash the backend server.
            end_trial: Records that a trial ended, neither whole nor with a
                death.
        """
        self._clock = clock
        self._linger_s = linger_s
        self._end_trial = end_trial
        # Trials by ticket id, and when they were cancelled, monotonic seconds.
        self._trials: dict[str, _Report] = {}
        self._cancelled_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        """True if there is any trial."""
        return bool(self._trials)

    def start(self, ticket_id: str, trial: _Report) -> None:
        """Records that a call which is handed over now is a trial."""
        self._trials[ticket_id] = trial

    def succeed(self, ticket_id: str) -> None:
        """Records that a call was run to its end."""
        self._cancelled_s.pop(ticket_id, None)
        self._trials.pop(ticket_id, None)

    def cancel(self, ticket_id: str) -> None:
        """Records that a call was cancelled and may still run."""
        if ticket_id in self._trials:
            self._cancelled_s[ticket_id] = self._clock.now_s()

    def end(self, ticket_id: str) -> None:
        """Records that a call ended, neither whole nor with a death."""
        self._cancelled_s.pop(ticket_id, None)
        trial = self._trials.pop(ticket_id, None)
        if trial is not None:
            self._end_trial(trial)

    def process_confirmed(self) -> None:
        """Ends the trials that were cancelled before the backend server spoke.

        To be called when the process that ran them announces itself.
        """
        until_s = self._clock.now_s() - self._linger_s
        for ticket_id, cancelled_s in list(self._cancelled_s.items()):
            if cancelled_s <= until_s:
                self.end(ticket_id)

    def clear(self) -> None:
        """Records the death of the backend server under all trials."""
        self._trials.clear()
        self._cancelled_s.clear()
