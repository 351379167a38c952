"""Simulates callers and the endpoints of one service in virtual time.

Models only what the choice depends on: endpoints with slots and a queue, the
speed of their machines, and reports that reach each caller some time after the
answer that they belong to.
"""

from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import NamedTuple

from cranberrymux.decisions.endpoints import backend_load
from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import load_figures

WORK_S = 0.05  # Median work of a request on a machine of speed 1.0.
WORK_DEVIATION = 0.76  # Of the logarithm of the work.
DEADLINE_S = 1.0
SLOW_PERIOD_S = 0.6
SLOW_PART_S = 0.2
SLOW_RATIO = 2.5
MAXIMUM_TRIED = 4
WARM_UP_S = 1.5
USED_SLOT_RATIO = 0.94


class Plan(NamedTuple):
    """One run.

    Attributes:
        endpoints: Number of endpoints.
        load: Arrival rate, as a share of what the endpoints can run.
        report_age_s: Seconds between an answer and the report with it.
        slots: Slots of each endpoint.
        callers: Number of nodes that send requests.
        speeds: Lowest and highest speed.
        slow_share: Share of the endpoints with slow parts.
        figures: What backend servers say of their machines: `true`, `none` or
            `random`.
        requests: Number of requests that are measured.
    """

    endpoints: int
    load: float
    report_age_s: float = 0.02
    slots: int = 16
    callers: int = 16
    speeds: tuple[float, float] = (0.5, 1.6)
    slow_share: float = 0.15
    figures: str = "true"
    requests: int = 3000


def make_plan(endpoints: int, load: float, **changes) -> Plan:
    """Returns a plan in which a caller hears of an endpoint ten times a second.

    Callers of a hundred endpoints send to a subset of them.
    """
    is_large = endpoints > 24
    plan = Plan(endpoints, load)
    plan = plan._replace(slots=8, callers=32) if is_large else plan
    return plan._replace(**changes)


class Result(NamedTuple):
    """What callers saw.

    Attributes:
        p50_s: Median of the wait for an answer in seconds.
        p99_s: Quantile 0.99 of it.
        share: Share of the requests that were answered by their deadline.
        most_open: Most requests that one backend server held at once, per
            slot.
    """

    p50_s: float
    p99_s: float
    share: float
    most_open: float


class Request:
    """One request."""

    def __init__(self, number, caller, now_s, work_s):
        self.number = number
        self.caller = caller
        self.began_s = now_s
        self.deadline_s = now_s + DEADLINE_S
        self.work_s = work_s
        self.tried = []
        self.view = None


class Endpoint:
    """A backend server and the node beside it."""

    def __init__(self, name, slots, speed, slow_from_s):
        self.name = name
        self.slots = slots
        self.speed = speed
        self.slow_from_s = slow_from_s
        self.scheduler = slot_scheduler.SlotScheduler(
            int(USED_SLOT_RATIO * slots)
        )
        self.requests = {}
        self.load = backend_load.BackendLoad()

    def slowness(self, now_s):
        if self.slow_from_s is None:
            return 1.0
        phase_s = (now_s + self.slow_from_s) % SLOW_PERIOD_S
        return SLOW_RATIO if phase_s < SLOW_PART_S else 1.0

    def find_end(self, now_s, work_s):
        """Returns when work that begins now ends."""
        left = work_s / self.speed
        if self.slow_from_s is None:
            return now_s + left
        while True:
            phase_s = (now_s + self.slow_from_s) % SLOW_PERIOD_S
            is_slow = phase_s < SLOW_PART_S
            until_s = SLOW_PART_S if is_slow else SLOW_PERIOD_S
            ratio = SLOW_RATIO if is_slow else 1.0
            step_s = until_s - phase_s + 1e-9
            if left * ratio <= step_s:
                return now_s + left * ratio
            left -= step_s / ratio
            now_s += step_s

    @property
    def capacity_per_s(self):
        mean_s = WORK_S * math.exp(WORK_DEVIATION**2 / 2)
        rate = self.scheduler.slots * self.speed / mean_s
        if self.slow_from_s is None:
            return rate
        lost = SLOW_PART_S / SLOW_PERIOD_S * (1.0 - 1.0 / SLOW_RATIO)
        return rate * (1.0 - lost)

    def expected_s(self, now_s):
        """Expected seconds for one more request, with full knowledge."""
        work_s = WORK_S / self.speed * self.slowness(now_s)
        open_count = self.scheduler.running + self.scheduler.waiting
        ahead = max(open_count + 1 - self.scheduler.slots, 0)
        mean_s = work_s * math.exp(WORK_DEVIATION**2 / 2)
        return work_s + ahead * mean_s / self.scheduler.slots


class Simulation:
    """One run."""

    def __init__(self, plan: Plan, way: str, seed: int) -> None:
        """Prepares a run.

        Args:
            plan: What is simulated.
            way: `speed`; `load`, as before speeds were reported; `random`; or
                `full`, which knows speed, load and slowness of all endpoints
                at present.
            seed: Seed of all random numbers.
        """
        self._plan = plan
        self._way = way
        self._arrivals = random.Random(f"arrivals {seed}")
        self._choices = random.Random(f"choices {seed}")
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        slots = plan.slots
        low, high = plan.speeds
        slow = set(
            random.Random(f"slow {seed}").sample(
                range(plan.endpoints),
                round(plan.slow_share * plan.endpoints + 0.3),
            )
        )
        self.endpoints = {
            f"e{n}": Endpoint(
                f"e{n}",
                slots,
                low + (high - low) * n / max(plan.endpoints - 1, 1),
                self._arrivals.uniform(0, 0.6) if n in slow else None,
            )
            for n in range(plan.endpoints)
        }
        records = [
            endpoint_record.EndpointRecord(
                "s", name, 1, 1, "10.0.0.1", 80, "r", "z", {}, slots,
                endpoint_state.EndpointState.SERVING,
            )
            for name in self.endpoints
        ]  # fmt: skip
        self.callers = []
        for number in range(plan.callers):
            known = endpoint_set.EndpointSet(
                f"n{number}", "z", random.Random(f"{seed} {number}")
            )
            known.update(records)
            self.callers.append(known)
        capacity = sum(
            endpoint.capacity_per_s for endpoint in self.endpoints.values()
        )
        self._per_s = plan.load * capacity
        self._ends_s = WARM_UP_S + plan.requests / self._per_s
        self._waits_s: list[float] = []
        self._asked = 0
        self._most_open = 0.0

    def run(self) -> Result:
        """Returns the result."""
        self._schedule(0.0, self._arrive)
        while self._events:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        waits_s = sorted(self._waits_s)
        return Result(
            waits_s[len(waits_s) // 2],
            waits_s[int(0.99 * len(waits_s))],
            len(waits_s) / self._asked,
            self._most_open,
        )

    def _schedule(self, delay_s, action, *arguments):
        heapq.heappush(
            self._events,
            (self._now_s + delay_s, next(self._numbers), action, arguments),
        )

    def _arrive(self):
        work_s = WORK_S * self._arrivals.lognormvariate(0.0, WORK_DEVIATION)
        caller = self._arrivals.choice(self.callers)
        request = Request(next(self._numbers), caller, self._now_s, work_s)
        if self._is_measured(request):
            self._asked += 1
        self._send(request)
        delay_s = self._arrivals.expovariate(self._per_s)
        if self._now_s + delay_s < self._ends_s:
            self._schedule(delay_s, self._arrive)

    def _is_measured(self, request):
        return request.began_s >= WARM_UP_S

    def _send(self, request):
        if len(request.tried) >= MAXIMUM_TRIED:
            return
        endpoint = self._choose(request)
        if endpoint is None:
            return
        request.tried.append(endpoint.name)
        request.view = request.caller.find(endpoint.name)
        request.view.outstanding += 1
        ticket = slot_scheduler.Ticket(
            request.number,
            0.0,
            self._now_s + 0.4 * (request.deadline_s - self._now_s),
            request.deadline_s,
        )
        endpoint.requests[request.number] = request
        verdict = endpoint.scheduler.offer(self._now_s, ticket)
        if verdict is slot_scheduler.SlotVerdict.START:
            self._start(endpoint, request.number)
        elif verdict is slot_scheduler.SlotVerdict.WAIT:
            self._schedule(0.02, self._expire, endpoint)
        else:
            self._refuse(endpoint, request.number)

    def _choose(self, request):
        if self._way in ("speed", "load"):
            view = request.caller.choose("s", self._now_s, request.tried)
            if view is None:
                return None
            return self.endpoints[view.record.endpoint_id]
        left = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.name not in request.tried
        ]
        if not left:
            return None
        if self._way == "random":
            return self._choices.choice(left)
        return min(left, key=lambda endpoint: endpoint.expected_s(self._now_s))

    def _start(self, endpoint, number):
        request = endpoint.requests[number]
        open_share = endpoint.scheduler.running / endpoint.slots
        self._most_open = max(self._most_open, open_share)
        end_s = endpoint.find_end(self._now_s, request.work_s)
        self._schedule(end_s - self._now_s, self._finish, endpoint, number)

    def _finish(self, endpoint, number):
        request = endpoint.requests.pop(number)
        held_s = endpoint.scheduler.finish(self._now_s, number, True)
        self._note_figures(endpoint)
        endpoint.load.note_served(
            self._now_s,
            held_s,
            held_s,
            math.log(held_s * endpoint.speed / WORK_S),
        )
        self._report(endpoint, request)
        if self._is_measured(request) and self._now_s <= request.deadline_s:
            self._waits_s.append(self._now_s - request.began_s)
        for started in endpoint.scheduler.start_waiting(self._now_s):
            self._start(endpoint, started)

    def _note_figures(self, endpoint):
        if self._plan.figures == "none":
            return
        running = endpoint.scheduler.running
        figures = load_figures.LoadFigures(
            running, 0, endpoint.slots, endpoint.slowness(self._now_s)
        )
        if self._plan.figures == "random":
            figures = load_figures.LoadFigures(
                self._choices.randrange(1000),
                self._choices.randrange(1000),
                self._choices.choice((1, endpoint.slots, 10_000)),
                self._choices.choice((0.01, 1.0, 5.0, 90.0)),
            )
        endpoint.load.note_figures(self._now_s, figures, running)

    def _expire(self, endpoint):
        for number in endpoint.scheduler.pop_expired(self._now_s):
            self._refuse(endpoint, number)
        if endpoint.scheduler.waiting:
            self._schedule(0.02, self._expire, endpoint)

    def _refuse(self, endpoint, number):
        request = endpoint.requests.pop(number)
        self._report(endpoint, request)
        self._send(request)

    def _report(self, endpoint, request):
        """Ends a sending; the report with its answer arrives later."""
        request.view.outstanding -= 1
        requests = endpoint.scheduler.running + endpoint.scheduler.waiting
        self._schedule(
            self._plan.report_age_s,
            self._learn,
            request.view,
            requests,
            endpoint.load.get_speed(self._now_s),
        )

    def _learn(self, view, requests, speed):
        view.note_reported_load(self._now_s, requests)
        if self._way == "speed" and speed is not None:
            view.note_reported_speed(self._now_s, speed)
