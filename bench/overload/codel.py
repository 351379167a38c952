"""Baseline admission with a queue that CoDel keeps short."""

import collections

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

INTERVAL_S = 0.1
TARGET_S = 0.02
QUEUE_LENGTH_PER_SLOT = 4

_REFUSED = refusal.Refusal(
    answer_kind.AnswerKind.NOT_RUN,
    refusal_reason.RefusalReason.OVERLOADED,
    "waited longer than the target",
    100,
)


class CoDel:
    """Admits in order of arrival, whatever the class.

    A call may wait `INTERVAL_S`, or only `TARGET_S` if the queue was not empty
    in the last `INTERVAL_S`.
    """

    level = 1 << 30

    def __init__(self, slots: int) -> None:
        """Creates an idle admission control with a number of slots."""
        self._slots = slots
        self._running: set[str] = set()
        self._waiting: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._empty_s = 0.0

    @property
    def load(self) -> float:
        """Share of the slots in use, 0.0 to 1.0."""
        return min(len(self._running) / self._slots, 1.0)

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict.Verdict:
        """Admits, queues or refuses a new call."""
        if not self._waiting:
            self._empty_s = now_s
            if len(self._running) < self._slots:
                self._running.add(ticket.ticket_id)
                return admitted.Admitted(0.0)
        if len(self._waiting) >= QUEUE_LENGTH_PER_SLOT * self._slots:
            return _REFUSED
        self._waiting[ticket.ticket_id] = now_s
        return queued.Queued(now_s + INTERVAL_S)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Removes a call; returns False if it was not queued."""
        del now_s
        return self._waiting.pop(ticket_id, None) is not None

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running call."""
        del now_s, outcome, downstream_s
        self._running.discard(ticket_id)

    def poll(self, now_s: float) -> list[tuple[str, verdict.Decision]]:
        """Refuses calls that waited too long and fills free slots."""
        decisions: list[tuple[str, verdict.Decision]] = []
        limit_s = self._get_limit_s(now_s)
        while self._waiting:
            ticket_id, arrived_s = next(iter(self._waiting.items()))
            if now_s - arrived_s >= limit_s:
                decisions.append((ticket_id, _REFUSED))
            elif len(self._running) < self._slots:
                self._running.add(ticket_id)
                decisions.append(
                    (ticket_id, admitted.Admitted(now_s - arrived_s))
                )
            else:
                break
            del self._waiting[ticket_id]
        if not self._waiting:
            self._empty_s = now_s
        return decisions

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns when the oldest queued call will have waited too long."""
        if not self._waiting:
            return None
        oldest_s = next(iter(self._waiting.values()))
        return max(oldest_s + self._get_limit_s(now_s), now_s + 0.001)

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Ignores load hints."""

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Ignores shed levels."""

    def _get_limit_s(self, now_s: float) -> float:
        is_persistent = now_s - self._empty_s > INTERVAL_S
        return TARGET_S if is_persistent else INTERVAL_S
