"""Small fakes of endpoints and callers, driven under a virtual clock."""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import NamedTuple

from bench import chooser as chooser_module
from bench import fake_endpoint
from cranberrymux.decisions.routing import outcome
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import request_context

SERVICE = "notes"
DEADLINE_S = 0.25
SAME_ZONE_S = 0.0002
OTHER_ZONE_S = 0.001

_CONTEXT = request_context.RequestContext("id", "1", "ann", 250, 1, 5, 3, 1)


class Result(NamedTuple):
    """What a run came to.

    Attributes:
        good: Share of calls done before the deadline.
        p99_ms: Latency of 99 in 100 of these.
        other_zone: Share of calls sent to another availability zone.
        sent: Share of the calls sent, by endpoint.
    """

    good: float
    p99_ms: float
    other_zone: float
    sent: dict[str, float]


class Simulation:
    """Callers and endpoints of one service."""

    def __init__(
        self,
        generator: random.Random,
        endpoints: list[
            tuple[endpoint_record.EndpointRecord, fake_endpoint.Behaviour]
        ],
        callers: list[tuple[str, chooser_module.Chooser]],
    ) -> None:
        """Prepares a run.

        Args:
            generator: Source of chance.
            endpoints: Records and how they behave.
            callers: Availability zone and chooser of each caller.
        """
        self._generator = generator
        self._endpoints = {
            record.endpoint_id: fake_endpoint.FakeEndpoint(record, behaviour)
            for record, behaviour in endpoints
        }
        self._callers = callers
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now_s = 0.0
        self._latencies_s: list[float] = []
        self._calls = 0
        self._other_zone = 0
        self._sent: collections.Counter[str] = collections.Counter()

    def run(
        self,
        rate_per_s: float,
        duration_s: float,
        weights: list[float],
        at: list[tuple[float, Callable[[], None]]],
    ) -> Result:
        """Runs open-loop arrivals and returns what they came to.

        Args:
            rate_per_s: Calls a second.
            duration_s: Length of the run.
            weights: Share of the calls that each caller makes.
            at: Changes to make, each at its time.
        """
        for time_s, change in at:
            self._schedule(time_s, change)
        time_s = 1.0
        while time_s < 1.0 + duration_s:
            time_s += self._generator.expovariate(rate_per_s)
            index = self._generator.choices(range(len(weights)), weights)[0]
            self._schedule(time_s, lambda index=index: self._arrive(index))  # type: ignore[misc]
        while self._events:
            self._now_s, _, step = heapq.heappop(self._events)
            step()
        latencies_s = sorted(self._latencies_s)
        p99_s = latencies_s[int(len(latencies_s) * 0.99)]
        total = max(sum(self._sent.values()), 1)
        return Result(
            len(latencies_s) / self._calls,
            p99_s * 1000.0,
            self._other_zone / total,
            {name: count / total for name, count in self._sent.items()},
        )

    def set_behaviour(
        self, endpoint_id: str, behaviour: fake_endpoint.Behaviour
    ) -> None:
        """Changes how an endpoint runs calls from now on."""
        self._endpoints[endpoint_id].behaviour = behaviour

    def _schedule(self, time_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), step))

    def _arrive(self, caller: int) -> None:
        self._calls += 1
        zone, chooser = self._callers[caller]
        chosen = chooser.choose(self._now_s, SERVICE, _CONTEXT)
        if isinstance(chosen, refusal.Refusal):
            return
        chooser.started(self._now_s, chosen.endpoint_id)
        other = chosen.zone != zone
        self._other_zone += other
        self._sent[chosen.endpoint_id] += 1
        wire_s = OTHER_ZONE_S if other else SAME_ZONE_S
        call = fake_endpoint.FakeCall(caller, self._now_s, wire_s)
        endpoint = self._endpoints[chosen.endpoint_id]
        self._schedule(
            self._now_s + wire_s, lambda: self._receive(endpoint, call)
        )

    def _receive(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        if endpoint.busy < endpoint.record.slots:
            self._begin(endpoint, call)
        elif len(endpoint.queue) < endpoint.record.slots:
            endpoint.queue.append(call)
        else:
            self._answer(endpoint, call, outcome.Outcome.REFUSED)

    def _begin(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        endpoint.busy += 1
        duration_s = endpoint.duration_s(self._now_s, self._generator)
        self._schedule(
            self._now_s + duration_s, lambda: self._end(endpoint, call)
        )

    def _end(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        endpoint.busy -= 1
        failing = endpoint.behaviour.failing
        result = outcome.Outcome.FAILED if failing else outcome.Outcome.DONE
        self._answer(endpoint, call, result)
        while endpoint.queue and endpoint.busy < endpoint.record.slots:
            self._begin(endpoint, endpoint.queue.popleft())

    def _answer(
        self,
        endpoint: fake_endpoint.FakeEndpoint,
        call: fake_endpoint.FakeCall,
        result: outcome.Outcome,
    ) -> None:
        load = endpoint.load(self._now_s)
        self._schedule(
            self._now_s + call.wire_s,
            lambda: self._return(endpoint, call, result, load),
        )

    def _return(
        self,
        endpoint: fake_endpoint.FakeEndpoint,
        call: fake_endpoint.FakeCall,
        result: outcome.Outcome,
        load: float,
    ) -> None:
        latency_s = self._now_s - call.start_s
        if latency_s > DEADLINE_S:
            result = outcome.Outcome.TIMED_OUT
        elif result is outcome.Outcome.DONE:
            self._latencies_s.append(latency_s)
        _, chooser = self._callers[call.caller]
        chooser.finished(
            self._now_s,
            endpoint.record.endpoint_id,
            result,
            latency_s,
            load=load,
        )
