"""Simulates trees of calls to one deep service in virtual time.

Models only what the decisions depend on: nodes where trees start, the
endpoints of the deep service with their slots and share meters, and the time
spent in the services between.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

from cranberrymux.decisions.pressure import expected_work
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report

HOP_S = 0.002
RETRY_DELAY_S = 0.5
# Calls between the services above the deep one, for each call of it: a tree has
# five such calls and eight of the deep service.
UPPER_CALLS_PER_CALL = 5 / 8
CALLING_NODES = 18  # Nodes at most that call the deep service.


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

    def __init__(self, slots: int, speed: float) -> None:
        self.slots = slots
        self.speed = speed
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
    report: work_report.WorkReport
    expected: expected_work.ExpectedWork | None


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
        has_news: bool = True,
        speeds: Sequence[float] = (1.0,),
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.kinds = kinds
        self.is_admitting = is_admitting
        self.has_news = has_news
        self.tallies = {one.route: Tally() for one in kinds}
        self.roots = [root_admission.RootAdmission(0.0) for _ in range(nodes)]
        self.endpoints = [
            Endpoint(slots, speeds[index % len(speeds)])
            for index in range(endpoints)
        ]
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
            kind.priority - (0.5 if kind.calls > 1 else 0.0),
            {},
            self.roots[node].expect_work(kind.route).get("deep"),
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
        self._exchange_news()
        if self.random.random() < UPPER_CALLS_PER_CALL:
            self._exchange_news()
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
            expected = tree.expected
            if expected is not None and tree.left < tree.kind.calls:
                expected = expected._replace(is_counted=True)
            meter.note_arrival(tree.kind.route, expected)
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
                self._note_share(meter.share, bool(tried))
                self.at(
                    HOP_S, lambda: self._call(tree, timing, [*tried, index])
                )
                return
            work_s = self.random.uniform(0.5, 1.5) * tree.kind.call_s
            work_s /= endpoint.speed
            self.at(
                work_s,
                lambda: self._finish(
                    tree, timing, index, ticket_id, bool(tried)
                ),
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
        is_resent: bool,
    ) -> None:
        endpoint = self.endpoints[index]
        hold_s = endpoint.scheduler.finish(self.now_s, ticket_id, True)
        endpoint.busy_s += hold_s
        endpoint.meter.note_hold(tree.kind.route, hold_s)
        for started_id in endpoint.scheduler.start_waiting(self.now_s):
            endpoint.waiting.pop(started_id)(True)
        work_report.add(tree.report, {"deep": work_report.ServiceWork(hold_s)})
        self._note_share(endpoint.meter.share, is_resent)
        tree.left -= 1
        if self.now_s > tree.deadline_s:
            self._report(tree, False)
            self._retry_or_count(tree.kind, timing, "failed")
        elif tree.left:
            self.at(tree.kind.between_s, lambda: self._call(tree, timing, []))
        else:
            self._report(tree, True)
            self.tallies[tree.kind.route].served += 1

    def _note_share(self, share: float, is_resent: bool) -> None:
        """Tells the node that made a call the share that fits.

        Nodes of other services than the one that calls the deep service learn
        from news alone.
        """
        if not is_resent:
            caller = self.random.choice(self.roots[:CALLING_NODES])
            caller.note_share(self.now_s, "deep", share)

    def _exchange_news(self) -> None:
        """Exchanges news between two nodes, as each call and its answer do."""
        if not self.has_news:
            return
        first, second = self.random.choices(self.roots, k=2)
        second.note_news(self.now_s, first.get_news(self.now_s))
        first.note_news(self.now_s, second.get_news(self.now_s))

    def _report(self, tree: Tree, is_successful: bool) -> None:
        self.roots[tree.node].note_report(
            tree.kind.route, tree.report, is_successful
        )

    def _expire(self) -> None:
        for endpoint in self.endpoints:
            for ticket_id in endpoint.scheduler.pop_expired(self.now_s):
                endpoint.waiting.pop(ticket_id)(False)
        self.at(0.02, self._expire)
