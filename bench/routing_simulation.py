"""Simulation of callers and endpoints of one service on a virtual clock."""

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
SAME_ZONE_DELAY_S = 0.0002
CROSS_ZONE_DELAY_S = 0.001

_CONTEXT = request_context.RequestContext("id", "1", "ann", 250, 1, 5, 3, 1)


class Result(NamedTuple):
    """Goodput, latency and distribution of the calls of one run.

    Attributes:
        goodput_share: Share of all calls that succeeded within `DEADLINE_S`, 0
            to 1.
        p99_ms: Quantile 0.99 of the latency of these calls.
        cross_zone_share: Share of the calls sent that went to another
            availability zone, 0 to 1.
        sent_share_by_endpoint: Share of the calls sent, 0 to 1, by endpoint id.
    """

    goodput_share: float
    p99_ms: float
    cross_zone_share: float
    sent_share_by_endpoint: dict[str, float]


class Simulation:
    """Runs calls of several callers to the endpoints of one service.

    Each endpoint queues as many calls as it has slots and refuses further
    ones.
    """

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
            generator: Source of randomness for arrivals and durations.
            endpoints: Record and initial behaviour of each endpoint.
            callers: Availability zone and chooser of each caller.
        """
        self._generator = generator
        self._endpoints = {
            record.endpoint_id: fake_endpoint.FakeEndpoint(record, behaviour)
            for record, behaviour in endpoints
        }
        self._callers = callers
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now_s = 0.0
        self._latencies_s: list[float] = []
        self._call_count = 0
        self._cross_zone_calls = 0
        self._sent_by_endpoint: collections.Counter[str] = collections.Counter()

    def run(
        self,
        rate_per_s: float,
        duration_s: float,
        weights: list[float],
        changes: list[tuple[float, Callable[[], None]]],
    ) -> Result:
        """Runs open-loop Poisson arrivals until the last call has ended.

        Args:
            rate_per_s: Mean number of calls per second.
            duration_s: Length of the arrivals, which begin at 1.0 s.
            weights: Relative number of calls of each caller.
            changes: Simulated times in seconds, each with the change to make
                then.

        Returns:
            The figures of all calls.
        """
        for time_s, change in changes:
            self._schedule(time_s, change)
        time_s = 1.0
        while time_s < 1.0 + duration_s:
            time_s += self._generator.expovariate(rate_per_s)
            caller = self._generator.choices(range(len(weights)), weights)[0]
            self._schedule(
                time_s,
                lambda caller=caller: self._send_call(caller),  # type: ignore[misc]
            )
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        latencies_s = sorted(self._latencies_s)
        p99_s = latencies_s[int(len(latencies_s) * 0.99)]
        sent_count = max(sum(self._sent_by_endpoint.values()), 1)
        return Result(
            len(latencies_s) / self._call_count,
            p99_s * 1000.0,
            self._cross_zone_calls / sent_count,
            {
                name: count / sent_count
                for name, count in self._sent_by_endpoint.items()
            },
        )

    def set_behaviour(
        self, endpoint_id: str, behaviour: fake_endpoint.Behaviour
    ) -> None:
        """Replaces the behaviour of an endpoint for calls begun from now on."""
        self._endpoints[endpoint_id].behaviour = behaviour

    def _schedule(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (time_s, next(self._event_numbers), action)
        )

    def _send_call(self, caller: int) -> None:
        self._call_count += 1
        zone, chooser = self._callers[caller]
        chosen = chooser.choose(self._now_s, SERVICE, _CONTEXT)
        if isinstance(chosen, refusal.Refusal):
            return
        chooser.call_started(self._now_s, chosen.endpoint_id)
        is_other_zone = chosen.zone != zone
        self._cross_zone_calls += is_other_zone
        self._sent_by_endpoint[chosen.endpoint_id] += 1
        network_delay_s = (
            CROSS_ZONE_DELAY_S if is_other_zone else SAME_ZONE_DELAY_S
        )
        call = fake_endpoint.FakeCall(caller, self._now_s, network_delay_s)
        endpoint = self._endpoints[chosen.endpoint_id]
        self._schedule(
            self._now_s + network_delay_s,
            lambda: self._receive_call(endpoint, call),
        )

    def _receive_call(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        if endpoint.busy_slots < endpoint.record.slots:
            self._start_call(endpoint, call)
        elif len(endpoint.queue) < endpoint.record.slots:
            endpoint.queue.append(call)
        else:
            self._send_answer(endpoint, call, outcome.Outcome.REFUSED)

    def _start_call(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        endpoint.busy_slots += 1
        duration_s = endpoint.draw_duration_s(self._now_s, self._generator)
        self._schedule(
            self._now_s + duration_s, lambda: self._end_call(endpoint, call)
        )

    def _end_call(
        self, endpoint: fake_endpoint.FakeEndpoint, call: fake_endpoint.FakeCall
    ) -> None:
        endpoint.busy_slots -= 1
        failing = endpoint.behaviour.failing
        call_outcome = (
            outcome.Outcome.FAILED if failing else outcome.Outcome.DONE
        )
        self._send_answer(endpoint, call, call_outcome)
        while endpoint.queue and endpoint.busy_slots < endpoint.record.slots:
            self._start_call(endpoint, endpoint.queue.popleft())

    def _send_answer(
        self,
        endpoint: fake_endpoint.FakeEndpoint,
        call: fake_endpoint.FakeCall,
        call_outcome: outcome.Outcome,
    ) -> None:
        load = endpoint.report_load(self._now_s)
        self._schedule(
            self._now_s + call.network_delay_s,
            lambda: self._receive_answer(endpoint, call, call_outcome, load),
        )

    def _receive_answer(
        self,
        endpoint: fake_endpoint.FakeEndpoint,
        call: fake_endpoint.FakeCall,
        call_outcome: outcome.Outcome,
        load: float,
    ) -> None:
        latency_s = self._now_s - call.start_s
        if latency_s > DEADLINE_S:
            call_outcome = outcome.Outcome.TIMED_OUT
        elif call_outcome is outcome.Outcome.DONE:
            self._latencies_s.append(latency_s)
        _, chooser = self._callers[call.caller]
        chooser.call_finished(
            self._now_s,
            endpoint.record.endpoint_id,
            call_outcome,
            latency_s,
            load=load,
        )
