"""Simulation of nodes and endpoints of one service on a virtual clock.

Each node chooses with an `EndpointSet` and learns from answers as a gateway
does. An endpoint runs as many requests as it has slots, queues as many again
and refuses further ones, which their node sends elsewhere.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import NamedTuple

from bench.zones import fleet as fleet_module
from bench.zones import zone_rules
from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

SERVICE = "s"
LOCAL_DELAY_S = 0.0002
ZONE_DELAY_S = 0.0014
MAXIMUM_TRIES = 4
# A caller gives up a request that has not started by then.
PATIENCE_S = 0.5
# Slownesses are measured over so many runs of an endpoint.
SLOWNESS_RUNS = 10
BUCKET_S = 0.1

State = endpoint_state.EndpointState


class Bucket:
    """Requests that arrived in one tenth of a second.

    Attributes:
        arrived: Number of requests.
        left_zone: Number of sends to another zone.
        sent: Number of sends.
        refused: Requests that no endpoint started in time.
        waits_s: Seconds from the arrival of a request to the start of its run.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.arrived = 0
        self.left_zone = 0
        self.sent = 0
        self.refused = 0
        self.waits_s: list[float] = []


class Figures(NamedTuple):
    """Figures of a span of a run.

    Attributes:
        left_zone: Share of the sends that went to another zone.
        p99_wait_s: Quantile 0.99 of the wait.
        refused: Share of the requests that were refused.
    """

    left_zone: float
    p99_wait_s: float
    refused: float


class Request(NamedTuple):
    """A request on its way.

    Attributes:
        node: Index of its node.
        zone: Zone of that node.
        arrived_s: Time of its arrival.
        tried: Ids of the endpoints that refused it.
        bucket: Figures that count it.
    """

    node: int
    zone: int
    arrived_s: float
    tried: tuple[str, ...]
    bucket: Bucket


class Call(NamedTuple):
    """One send of a request.

    Attributes:
        request: The request, which has tried the endpoint.
        view: Its node's view of the endpoint.
        sent_s: Time of the send.
        delay_s: One-way network delay.
    """

    request: Request
    view: endpoint_view.EndpointView
    sent_s: float
    delay_s: float


class Endpoint:
    """One endpoint and its queue."""

    def __init__(self, zone: int, slots: int) -> None:
        """Starts idle."""
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.slowness = 1.0
        self.is_lost = False
        self.is_draining = False
        self.queue: collections.deque[Call] = collections.deque()
        self.measured_slowness = 1.0


class Simulation:
    """Runs the requests of all zones and keeps figures by zone and time."""

    def __init__(
        self, rule: zone_rules.Make, fleet: fleet_module.Fleet, seed: int
    ) -> None:
        """Creates a node beside each endpoint."""
        self._random = random.Random(f"work {seed}")
        self._fleet = fleet
        self.demand = list(fleet.demand)
        self.endpoints: dict[str, Endpoint] = {}
        self._records: dict[str, endpoint_record.EndpointRecord] = {}
        for zone, count in enumerate(fleet.endpoints):
            for number in range(count):
                self._add_endpoint(zone, f"e{zone}-{number}")
        self._nodes: list[endpoint_set.EndpointSet] = []
        self._nodes_of: dict[int, list[int]] = {}
        for name, endpoint in self.endpoints.items():
            listed = self._nodes_of.setdefault(endpoint.zone, [])
            listed.append(len(self._nodes))
            node = rule(
                name, f"z{endpoint.zone}", random.Random(f"{name} {seed}")
            )
            node.update(self._records.values())
            self._nodes.append(node)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.now_s = 0.0
        self.buckets: dict[tuple[int, int], Bucket] = collections.defaultdict(
            Bucket
        )
        # Requests that arrived at the endpoints of each zone.
        self.received: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )

    def run(
        self,
        load: float,
        span_s: float,
        changes: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Runs arrivals at a share of the capacity of the whole fleet."""
        for time_s, change in (changes or {}).items():
            self._schedule(time_s, change)
        rate_per_s = load * self._fleet.capacity_per_s
        zones = range(len(self.demand))
        end_s = self.now_s + span_s
        next_s = self.now_s
        while True:
            next_s += self._random.expovariate(rate_per_s)
            self._run_until(min(next_s, end_s))
            if next_s >= end_s:
                return
            zone = self._random.choices(zones, self.demand)[0]
            node = self._random.choice(self._nodes_of[zone])
            bucket = self.buckets[zone, int(self.now_s / BUCKET_S)]
            bucket.arrived += 1
            self._send(Request(node, zone, self.now_s, (), bucket))

    def shares(self, zone: int) -> dict[str, float]:
        """Returns the mean share that each zone gets of a zone's requests."""
        total: dict[str, float] = {}
        nodes = self._nodes_of[zone]
        for number in nodes:
            for name, share in (
                self._nodes[number].zones.get_shares(SERVICE).items()
            ):
                total[name] = total.get(name, 0.0) + share / len(nodes)
        return total

    def figures(
        self, begin_s: float, end_s: float, zones: set[int] | None = None
    ) -> Figures:
        """Returns the figures of the requests that arrived in a span."""
        chosen = [
            bucket
            for (zone, number), bucket in self.buckets.items()
            if begin_s <= (number + 0.5) * BUCKET_S < end_s
            and (zones is None or zone in zones)
        ]
        waits_s = sorted(w for bucket in chosen for w in bucket.waits_s)
        return Figures(
            sum(b.left_zone for b in chosen)
            / max(sum(b.sent for b in chosen), 1),
            waits_s[int(len(waits_s) * 0.99)] if waits_s else 0.0,
            sum(b.refused for b in chosen)
            / max(sum(b.arrived for b in chosen), 1),
        )

    def lose(self, zone: int) -> None:
        """Ends the endpoints of a zone; its nodes take requests as before."""
        for endpoint in self._in_zone(zone):
            endpoint.is_lost = True
            endpoint.queue.clear()

    def restore(self, zone: int) -> None:
        """Lets the endpoints of a zone take requests again."""
        for endpoint in self._in_zone(zone):
            endpoint.is_lost = False
            endpoint.running = 0

    def drain(self, zone: int) -> None:
        """Announces that the endpoints of a zone take no more requests."""
        for name, endpoint in self.endpoints.items():
            if endpoint.zone != zone:
                continue
            endpoint.is_draining = True
            record = self._records[name]._replace(
                sequence=2, state=State.DRAINING
            )
            for node in self._nodes:
                node.update([record])

    def slow_down(self, zone: int, slowness: float) -> None:
        """Multiplies the working times in a zone."""
        for endpoint in self._in_zone(zone):
            endpoint.slowness = slowness

    def _in_zone(self, zone: int) -> list[Endpoint]:
        return [each for each in self.endpoints.values() if each.zone == zone]

    def _add_endpoint(self, zone: int, name: str) -> None:
        self.endpoints[name] = Endpoint(zone, self._fleet.slots)
        self._records[name] = endpoint_record.EndpointRecord(
            SERVICE, name, 1, 1, "10.0.0.1", 80, "r", f"z{zone}", {},
            self._fleet.slots, State.SERVING,
        )  # fmt: skip

    def _schedule(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def _send(self, request: Request) -> None:
        is_late = self.now_s - request.arrived_s > PATIENCE_S
        node = self._nodes[request.node]
        view = None
        if len(request.tried) < MAXIMUM_TRIES and not is_late:
            view = node.choose(SERVICE, self.now_s, request.tried)
        if view is None:
            request.bucket.refused += 1
            return
        name = view.record.endpoint_id
        view.outstanding += 1
        endpoint = self.endpoints[name]
        is_far = endpoint.zone != request.zone
        request.bucket.sent += 1
        request.bucket.left_zone += is_far
        call = Call(
            request._replace(tried=(*request.tried, name)),
            view,
            self.now_s,
            ZONE_DELAY_S if is_far else LOCAL_DELAY_S,
        )
        self._schedule(
            self.now_s + call.delay_s, lambda: self._receive(endpoint, call)
        )

    def _receive(self, endpoint: Endpoint, call: Call) -> None:
        self.received[endpoint.zone, int(self.now_s / BUCKET_S)] += 1
        if endpoint.is_lost:
            self._schedule(
                self.now_s + call.delay_s, lambda: self._note_lost(call)
            )
        elif endpoint.running < endpoint.slots and not endpoint.is_draining:
            self._start(endpoint, call)
        elif endpoint.is_draining or len(endpoint.queue) >= endpoint.slots:
            self._refuse(endpoint, call)
        else:
            endpoint.queue.append(call)

    def _start(self, endpoint: Endpoint, call: Call) -> None:
        endpoint.running += 1
        request = call.request
        request.bucket.waits_s.append(self.now_s - request.arrived_s)
        work_s = self._random.expovariate(1.0 / self._fleet.work_s)
        self._schedule(
            self.now_s + work_s * endpoint.slowness,
            lambda: self._end(endpoint, call),
        )

    def _end(self, endpoint: Endpoint, call: Call) -> None:
        if endpoint.is_lost:
            return
        endpoint.running = max(endpoint.running - 1, 0)
        endpoint.measured_slowness += (
            endpoint.slowness - endpoint.measured_slowness
        ) / SLOWNESS_RUNS
        self._answer(endpoint, call, is_run=True)
        while endpoint.queue and endpoint.running < endpoint.slots:
            waiting = endpoint.queue.popleft()
            if self.now_s - waiting.request.arrived_s > PATIENCE_S:
                self._refuse(endpoint, waiting)
            else:
                self._start(endpoint, waiting)

    def _refuse(self, endpoint: Endpoint, call: Call) -> None:
        self._answer(endpoint, call, is_run=False)

    def _answer(self, endpoint: Endpoint, call: Call, *, is_run: bool) -> None:
        load = endpoint.running + len(endpoint.queue)
        slowness = endpoint.measured_slowness
        self._schedule(
            self.now_s + call.delay_s,
            lambda: self._note_answer(call, load, slowness, is_run),
        )

    def _note_answer(
        self, call: Call, load: int, slowness: float, is_run: bool
    ) -> None:
        view = call.view
        node = self._nodes[call.request.node]
        view.outstanding -= 1
        view.note_answer()
        view.note_reported_load(self.now_s, load)
        view.note_reported_slowness(self.now_s, slowness)
        node.zones.note_answer(view, call.sent_s, self.now_s, is_run=is_run)
        if not is_run:
            self._send(call.request)

    def _note_lost(self, call: Call) -> None:
        call.view.outstanding -= 1
        call.view.note_unreachable(self.now_s)
        self._send(call.request)
