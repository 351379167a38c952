"""Simulates trees of calls to one deep service in virtual time.

Models only what the decisions depend on: nodes where trees start, the
endpoints of the deep service with their slots and share meters, and the time
spent in the services between.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report

HOP_S = 0.002
RETRY_DELAY_S = 0.5


class TreeKind(NamedTuple):
    """A kind of tree.

    Attributes:
        route: Name of its route.
        priority: 0 is the most important.
        per_s: Arrivals per second over all nodes.
        calls: Number of sequential calls to the deep service.
        call_s: Mean work of such a call in seconds.
        between_s: Seconds before each call.
        timeout_s: Seconds after which the tree fails.
    """

    route: str
    priority: int
    per_s: float
    calls: int
    call_s: float
    between_s: float
    timeout_s: float


@dataclasses.dataclass
class Tally:
    """Number of trees of one kind by their end."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0


class Endpoint:
    """An endpoint of the deep service and the node beside it."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.scheduler = slot_scheduler.SlotScheduler(slots)
        self.meter = share_meter.ShareMeter(0.0)
        self.waiting: dict[int, Callable[[bool], None]] = {}
        self.busy_s = 0.0


@dataclasses.dataclass
class Tree:
    """A tree in progress."""

    kind: TreeKind
    node: int
    deadline_s: float
    left: int
    rank: float
    share: float
    report: work_report.WorkReport


class TreeSimulation:
    """Simulates trees against the overload decisions."""

    def __init__(
        self,
        kinds: list[TreeKind],
        nodes: int = 18,
        endpoints: int = 4,
        slots: int = 15,
        seed: int = 1,
        is_admitting: bool = True,
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.kinds = kinds
        self.is_admitting = is_admitting
        self.tallies = {one.route: Tally() for one in kinds}
        self.roots = [root_admission.RootAdmission(0.0) for _ in range(nodes)]
        self.endpoints = [Endpoint(slots) for _ in range(endpoints)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tickets = itertools.count()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._order), action)
        )

    def run(self, length_s: float, counted_from_s: float = 0.0) -> None:
        for kind in self.kinds:
            self._arrive_later(kind, length_s)
        self.at(0.02, self._expire)
        while self._events:
            due_s, _, action = heapq.heappop(self._events)
            if due_s > length_s + 2.0:
                break
            if self.now_s < counted_from_s <= due_s:
                for route in self.tallies:
                    self.tallies[route] = Tally()
                for one in self.endpoints:
                    one.busy_s = 0.0
            self.now_s = due_s
            action()

    def utilization(self, length_s: float) -> float:
        """Returns the share of the deep service's slots that was in use."""
        slots = sum(one.slots for one in self.endpoints)
        return sum(one.busy_s for one in self.endpoints) / slots / length_s

    def _arrive_later(self, kind: TreeKind, length_s: float) -> None:
        gap_s = self.random.expovariate(kind.per_s)
        if self.now_s + gap_s > length_s:
            return

        def arrive() -> None:
            self.tallies[kind.route].asked += 1
            self._begin(kind, root_admission.AttemptTiming.FIRST)
            self._arrive_later(kind, length_s)

        self.at(gap_s, arrive)

    def _begin(
        self, kind: TreeKind, timing: root_admission.AttemptTiming
    ) -> None:
        node = self.random.randrange(len(self.roots))
        traffic_class = root_admission.TrafficClass(
            kind.priority, timing, kind.route
        )
        may_begin = self.roots[node].offer(self.now_s, traffic_class)
        if self.is_admitting and not may_begin:
            self._retry_or_count(kind, timing, "refused")
            return
        tree = Tree(
            kind,
            node,
            self.now_s + kind.timeout_s,
            kind.calls,
            kind.priority - 0.5,
            self.roots[node].minimum_share,
            {},
        )
        self.at(kind.between_s, lambda: self._call(tree, timing, []))

    def _retry_or_count(
        self, kind: TreeKind, timing: root_admission.AttemptTiming, end: str
    ) -> None:
        if timing is root_admission.AttemptTiming.FIRST:
            retry = root_admission.AttemptTiming.RETRY_IN_TIME
            self.at(RETRY_DELAY_S, lambda: self._begin(kind, retry))
            return
        tally = self.tallies[kind.route]
        setattr(tally, end, getattr(tally, end) + 1)

    def _call(
        self, tree: Tree, timing: root_admission.AttemptTiming, tried: list[int]
    ) -> None:
        left = [
            index for index in range(len(self.endpoints)) if index not in tried
        ]
        if not left or self.now_s >= tree.deadline_s:
            self._report(tree, False)
            self._retry_or_count(tree.kind, timing, "failed")
            return
        choices = self.random.sample(left, min(2, len(left)))
        index = min(
            choices,
            key=lambda one: (
                self.endpoints[one].scheduler.running
                + self.endpoints[one].scheduler.waiting
            ),
        )
        endpoint = self.endpoints[index]
        scheduler, meter = endpoint.scheduler, endpoint.meter
        if not tried:
            meter.note_arrival(tree.kind.route, tree.share)
        meter.roll(
            self.now_s,
            scheduler.slots,
            scheduler.waiting * scheduler.mean_hold_s,
        )
        ticket_id = next(self._tickets)
        left_s = tree.deadline_s - self.now_s
        verdict = scheduler.offer(
            self.now_s,
            slot_scheduler.Ticket(
                ticket_id,
                tree.rank,
                self.now_s + 0.4 * left_s,
                tree.deadline_s,
            ),
        )

        for evicted in scheduler.pop_evicted():
            endpoint.waiting.pop(evicted)(False)

        def on_decision(is_started: bool) -> None:
            if not is_started:
                work_report.add(
                    tree.report,
                    {"deep": work_report.ServiceWork(0.0, meter.share)},
                )
                self.at(
                    HOP_S, lambda: self._call(tree, timing, [*tried, index])
                )
                return
            work_s = self.random.uniform(0.5, 1.5) * tree.kind.call_s
            self.at(
                work_s, lambda: self._finish(tree, timing, index, ticket_id)
            )

        if verdict is slot_scheduler.SlotVerdict.START:
            on_decision(True)
        elif verdict is slot_scheduler.SlotVerdict.WAIT:
            endpoint.waiting[ticket_id] = on_decision
        else:
            on_decision(False)

    def _finish(
        self,
        tree: Tree,
        timing: root_admission.AttemptTiming,
        index: int,
        ticket_id: int,
    ) -> None:
        endpoint = self.endpoints[index]
        hold_s = endpoint.scheduler.finish(self.now_s, ticket_id, True)
        endpoint.busy_s += hold_s
        endpoint.meter.note_hold(tree.kind.route, hold_s)
        for started_id in endpoint.scheduler.start_waiting(self.now_s):
            endpoint.waiting.pop(started_id)(True)
        part = work_report.ServiceWork(hold_s, endpoint.meter.share)
        work_report.add(tree.report, {"deep": part})
        tree.left -= 1
        if self.now_s > tree.deadline_s:
            self._report(tree, False)
            self._retry_or_count(tree.kind, timing, "failed")
        elif tree.left:
            self.at(tree.kind.between_s, lambda: self._call(tree, timing, []))
        else:
            self._report(tree, True)
            self.tallies[tree.kind.route].served += 1

    def _report(self, tree: Tree, is_successful: bool) -> None:
        self.roots[tree.node].note_report(
            self.now_s, tree.kind.route, tree.report, is_successful
        )

    def _expire(self) -> None:
        for endpoint in self.endpoints:
            for ticket_id in endpoint.scheduler.pop_expired(self.now_s):
                endpoint.waiting.pop(ticket_id)(False)
        self.at(0.02, self._expire)
