"""The calls that hold a slot of one backend server."""

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import outcome as outcome_module


class Slots:
    """Running calls and the times at which they started."""

    def __init__(self, meter: load_meter.LoadMeter) -> None:
        """Starts idle.

        Args:
            meter: Supplies the limit and records starts and ends.
        """
        self._meter = meter
        self._started_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of running calls."""
        return len(self._started_s)

    @property
    def has_free(self) -> bool:
        """True if fewer calls are running than the limit allows."""
        return len(self._started_s) < self._meter.limit

    def start(
        self, now_s: float, ticket_id: str, arrived_s: float
    ) -> admitted.Admitted:
        """Assigns a slot to a call that arrived at `arrived_s`."""
        waited_s = now_s - arrived_s
        self._started_s[ticket_id] = now_s
        self._meter.count_start(waited_s, len(self._started_s))
        return admitted.Admitted(waited_s)

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float,
    ) -> bool:
        """Frees the slot of a call and records its end.

        Args:
            now_s: Monotonic seconds.
            ticket_id: Id of the call.
            outcome: How the call ended.
            downstream_s: Seconds spent in its downstream calls.

        Returns:
            False if the call holds no slot.
        """
        started_s = self._started_s.pop(ticket_id, None)
        if started_s is None:
            return False
        hold_s = now_s - started_s
        own_s = max(hold_s - downstream_s, 0.0)
        self._meter.count_finish(outcome, hold_s, own_s)
        return True
