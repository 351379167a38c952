"""Simulates trees of calls to one deep service in virtual time.

Models only what the decisions depend on: nodes where trees start, the
endpoints of the deep service with their slots and share meters, and the time
spent in the services between.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import heapq
import itertools
import random
from typing import NamedTuple

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.pressure import fair_shares
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report

HOP_S = 0.002
RETRY_DELAY_S = 0.5
MAXIMUM_REFUSALS = 8  # As in `Attempts`.


class AccountScope(enum.Enum):
    """Which decisions know of client accounts.

    Attributes:
        NONE: None of them: first come, first served within a rank.
        QUEUE: The queue before the slots, which becomes a round robin.
        ALL: The queue and the admission at the root.
    """

    NONE = "none"
    QUEUE = "queue"
    ALL = "all"


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
        account: Name of the client account; empty for none.
        entries: Numbers of the nodes where it enters; empty for all.
        counted_as: Name of its tally; empty for its account, else its route.
    """

    route: str
    priority: int
    per_s: float
    calls: int
    call_s: float
    between_s: float
    timeout_s: float
    account: str = ""
    entries: Sequence[int] = ()
    counted_as: str = ""

    @property
    def tally_name(self) -> str:
        return self.counted_as or self.account or self.route


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
        self.is_refusing = False


@dataclasses.dataclass
class Tree:
    """A tree in progress."""

    kind: TreeKind
    node: int
    caller: int
    deadline_s: float
    left: int
    rank: float
    share: float
    report: work_report.WorkReport
    offered: int
    refusals: int = 0

    @property
    def key(self) -> fair_shares.AccountKey:
        return traffic_class_module.make_key(
            self.kind.priority, self.kind.account, ""
        )


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
        scope: AccountScope = AccountScope.ALL,
        has_retries: bool = True,
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        # Share of the trees that fail elsewhere after each call but the last.
        self.failing = 0.0
        self._elsewhere = random.Random(seed)
        # Times of repeats; ends of trees as pairs of time and success.
        self.repeats: list[float] = []
        self.ends: list[tuple[float, bool]] = []
        self._refused: dict[tuple[int, int], float] = {}
        self._callers = random.Random(seed)
        self.kinds = kinds
        self.is_admitting = is_admitting
        self.scope = scope
        self.has_retries = has_retries
        self.tallies = {one.tally_name: Tally() for one in kinds}
        self.roots = [
            root_admission.RootAdmission(0.0, random.Random(node))
            for node in range(nodes)
        ]
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
                for name in self.tallies:
                    self.tallies[name] = Tally()
                for one in self.endpoints:
                    one.busy_s = 0.0
            self.now_s = due_s
            action()

    def utilization(self, length_s: float) -> float:
        """Returns the share of the deep service's slots that was in use."""
        slots = sum(one.slots for one in self.endpoints)
        return sum(one.busy_s for one in self.endpoints) / slots / length_s

    def arrive(self, kind: TreeKind, from_s: float, until_s: float) -> None:
        """Lets trees of a further kind begin from one time until another."""
        self.at(from_s, lambda: self._arrive_later(kind, until_s))

    def _arrive_later(self, kind: TreeKind, length_s: float) -> None:
        gap_s = self.random.expovariate(kind.per_s)
        if self.now_s + gap_s > length_s:
            return

        def arrive() -> None:
            self._tally(kind).asked += 1
            self._begin(kind, traffic_class_module.AttemptTiming.FIRST)
            self._arrive_later(kind, length_s)

        self.at(gap_s, arrive)

    def _begin(
        self, kind: TreeKind, timing: traffic_class_module.AttemptTiming
    ) -> None:
        if kind.entries:
            node = self.random.choice(kind.entries)
        else:
            node = self.random.randrange(len(self.roots))
        account = kind.account if self.scope is AccountScope.ALL else ""
        traffic_class = traffic_class_module.TrafficClass(
            kind.priority, timing, kind.route, account
        )
        stands_for = self.roots[node].admit(self.now_s, traffic_class)
        if self.is_admitting and not stands_for:
            self._retry_or_count(kind, timing, "refused")
            return
        tree = Tree(
            kind,
            node,
            self._callers.randrange(len(self.roots)),
            self.now_s + kind.timeout_s,
            kind.calls,
            kind.priority - 0.5,
            self.roots[node].minimum_share,
            {},
            max(stands_for, 1),
        )
        self.at(kind.between_s, lambda: self._call(tree, timing, []))

    def _retry_or_count(
        self,
        kind: TreeKind,
        timing: traffic_class_module.AttemptTiming,
        end: str,
    ) -> None:
        is_first = timing is traffic_class_module.AttemptTiming.FIRST
        if self.has_retries and is_first:
            retry = traffic_class_module.AttemptTiming.RETRY_IN_TIME
            self.at(RETRY_DELAY_S, lambda: self._begin(kind, retry))
            return
        tally = self._tally(kind)
        setattr(tally, end, getattr(tally, end) + 1)

    def _tally(self, kind: TreeKind) -> Tally:
        return self.tallies.setdefault(kind.tally_name, Tally())

    def _call(
        self,
        tree: Tree,
        timing: traffic_class_module.AttemptTiming,
        tried: list[int],
    ) -> None:
        left = [
            index for index in range(len(self.endpoints)) if index not in tried
        ]
        if not left or self.now_s >= tree.deadline_s:
            self._fail(tree, timing)
            return
        choices = self.random.sample(left, min(2, len(left)))
        index = min(
            choices,
            key=lambda one: self._cost(tree.caller, one),
        )
        endpoint = self.endpoints[index]
        scheduler, meter = endpoint.scheduler, endpoint.meter
        if not tried:
            self._note_arrival(meter, tree)
        if endpoint.is_refusing:
            self._refuse(tree, timing, tried, index)
            return
        self._note_acceptance(tree.caller, index, True)
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
                "" if self.scope is AccountScope.NONE else tree.kind.account,
                meter.accounts.get_weight(tree.key),
            ),
        )

        for evicted in scheduler.pop_evicted():
            endpoint.waiting.pop(evicted)(False)

        def on_decision(is_started: bool) -> None:
            if not is_started:
                if not tried and self.scope is AccountScope.ALL:
                    meter.note_refusal(tree.kind.route, tree.key, tree.offered)
                part = self._make_part(0.0, meter, tree, not tried)
                self._answer_call(tree, part)
                self.at(
                    HOP_S, lambda: self._call(tree, timing, [*tried, index])
                )
                return
            work_s = self.random.uniform(0.5, 1.5) * tree.kind.call_s
            self.at(
                work_s,
                lambda: self._finish(tree, timing, index, ticket_id, not tried),
            )

        if verdict is slot_scheduler.SlotVerdict.START:
            on_decision(True)
        elif verdict is slot_scheduler.SlotVerdict.WAIT:
            endpoint.waiting[ticket_id] = on_decision
        else:
            on_decision(False)

    def _refuse(
        self,
        tree: Tree,
        timing: traffic_class_module.AttemptTiming,
        tried: list[int],
        index: int,
    ) -> None:
        """Repeats a call that the backend server itself has refused."""
        self._note_acceptance(tree.caller, index, False)
        tree.refusals += 1
        meter = self.endpoints[index].meter
        if not tried:
            meter.note_backend_refusal(tree.kind.route)
        self._answer_call(tree, self._make_part(0.0, meter, tree, False))
        if tree.refusals >= MAXIMUM_REFUSALS:
            self._fail(tree, timing)
            return
        self.repeats.append(self.now_s)
        self.at(HOP_S, lambda: self._call(tree, timing, tried))

    def _cost(self, caller: int, index: int) -> float:
        """Returns the load of an endpoint as `EndpointView` rates it."""
        scheduler = self.endpoints[index].scheduler
        refused = self._refused.get((caller, index), 0.0)
        penalty = endpoint_view.rate_refusals(refused)
        return scheduler.running + scheduler.waiting + penalty * scheduler.slots

    def _note_acceptance(
        self, caller: int, index: int, is_accepted: bool
    ) -> None:
        refused = self._refused.get((caller, index), 0.0)
        if is_accepted and not refused:
            return
        refused += endpoint_view.REFUSAL_WEIGHT * (1.0 - is_accepted - refused)
        self._refused[caller, index] = refused

    def _finish(
        self,
        tree: Tree,
        timing: traffic_class_module.AttemptTiming,
        index: int,
        ticket_id: int,
        is_first_choice: bool,
    ) -> None:
        endpoint = self.endpoints[index]
        hold_s = endpoint.scheduler.finish(self.now_s, ticket_id, True)
        endpoint.busy_s += hold_s
        endpoint.meter.note_hold(tree.kind.route, hold_s)
        for started_id in endpoint.scheduler.start_waiting(self.now_s):
            endpoint.waiting.pop(started_id)(True)
        part = self._make_part(hold_s, endpoint.meter, tree, is_first_choice)
        self._answer_call(tree, part)
        tree.left -= 1
        is_failing = tree.left and self._elsewhere.random() < self.failing
        if self.now_s > tree.deadline_s or is_failing:
            self._fail(tree, timing)
        elif tree.left:
            tree.refusals = 0
            self.at(tree.kind.between_s, lambda: self._call(tree, timing, []))
        else:
            self._report(tree, True)
            self._tally(tree.kind).served += 1

    def _fail(
        self, tree: Tree, timing: traffic_class_module.AttemptTiming
    ) -> None:
        self._report(tree, False)
        self._retry_or_count(tree.kind, timing, "failed")

    def _answer_call(self, tree: Tree, part: work_report.ServiceWork) -> None:
        """Passes an answer to the node beside the caller, then to the tree."""
        self.roots[tree.caller].note_call_report(self.now_s, {"deep": part})
        work_report.add(tree.report, {"deep": part})

    def _report(self, tree: Tree, is_successful: bool) -> None:
        self.ends.append((self.now_s, is_successful))
        self.roots[tree.node].note_report(
            self.now_s, tree.kind.route, tree.report, is_successful, tree.key
        )

    def _note_arrival(self, meter: share_meter.ShareMeter, tree: Tree) -> None:
        if self.scope is AccountScope.ALL:
            meter.note_arrival(
                tree.kind.route, tree.share, tree.key, tree.offered
            )
        else:
            meter.note_arrival(tree.kind.route, tree.share)

    def _make_part(
        self,
        hold_s: float,
        meter: share_meter.ShareMeter,
        tree: Tree,
        is_first_choice: bool,
    ) -> work_report.ServiceWork:
        offered_s = None
        if not is_first_choice:
            offered_s = 0.0
        elif not hold_s:
            offered_s = meter.get_hold_s(tree.kind.route)
        return work_report.ServiceWork(
            hold_s,
            meter.share,
            meter.get_account_share(tree.key),
            offered_s=offered_s,
        )

    def _expire(self) -> None:
        for endpoint in self.endpoints:
            for ticket_id in endpoint.scheduler.pop_expired(self.now_s):
                endpoint.waiting.pop(ticket_id)(False)
        self.at(0.02, self._expire)
