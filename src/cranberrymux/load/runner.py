"""Runs a load: schedules open-loop arrivals and builds the report."""

import itertools
import random
import time
from typing import Any

from twisted.internet import defer

from cranberrymux.load import client_request
from cranberrymux.load import connection_pool
from cranberrymux.load import latency_histogram
from cranberrymux.load import load_settings
from cranberrymux.load import recorder as recorder_module
from cranberrymux.load import report
from cranberrymux.load import request_encoder
from cranberrymux.models import request_ids
from cranberrymux.models import socket_address

BUSY_WAIT_S = 0.002


class Runner:
    """Starts Poisson arrivals on schedule, whether others ended or not."""

    def __init__(
        self, settings: load_settings.LoadSettings, reactor: Any
    ) -> None:
        """Creates a load that is not started.

        Args:
            settings: Settings of the load.
            reactor: Clock, timers and TCP.
        """
        self._settings = settings
        self._reactor = reactor
        self._generator = random.Random(settings.seed)
        self._all_pools = [
            connection_pool.ConnectionPool(
                reactor, target, settings.connections
            )
            for target in map(socket_address.parse, settings.targets)
            if target is not None
        ]
        self._pools = itertools.cycle(self._all_pools)
        self._recorders = [recorder_module.Recorder() for _ in settings.kinds]
        self._encoders = [
            request_encoder.RequestEncoder(kind) for kind in settings.kinds
        ]
        self._cumulative_weights = list(
            itertools.accumulate(kind.weight for kind in settings.kinds)
        )
        self._kind_indexes = range(len(settings.kinds))
        self._late_start = latency_histogram.LatencyHistogram()
        self._outstanding: set[client_request.ClientRequest] = set()
        self._start_s = 0.0
        self._next_arrival_s = 0.0
        self._is_sending = False
        self._finished: defer.Deferred[report.LoadReport] = defer.Deferred()

    def run(self) -> defer.Deferred[report.LoadReport]:
        """Starts the load.

        Returns:
            A Deferred that fires with the report when every request has ended.
        """
        self._start_s = self._reactor.seconds()
        self._next_arrival_s = self._start_s + self._draw_interarrival_s()
        self._is_sending = True
        self._start_due_requests()
        return self._finished

    def _start_due_requests(self) -> None:
        now_s = self._reactor.seconds()
        end_s = self._start_s + self._settings.seconds
        while self._next_arrival_s <= now_s and self._next_arrival_s < end_s:
            self._late_start.record(now_s - self._next_arrival_s)
            self._start_request(self._next_arrival_s)
            self._next_arrival_s += self._draw_interarrival_s()
            now_s = self._reactor.seconds()
        if self._next_arrival_s >= end_s:
            self._wait_for_outstanding()
            return
        gap_s = self._next_arrival_s - now_s
        if self._settings.precise:
            # A timer may fire a millisecond late, so the last part of the gap
            # is a busy wait.
            gap_s -= BUSY_WAIT_S
        self._reactor.callLater(max(0.0, gap_s), self._start_due_requests)

    def _draw_interarrival_s(self) -> float:
        return self._generator.expovariate(self._settings.rate)

    def _start_request(self, intended_s: float) -> None:
        index = self._generator.choices(
            self._kind_indexes, cum_weights=self._cumulative_weights
        )[0]
        request_id = request_ids.make_request_id(
            time.time_ns() // 1_000_000, self._generator
        )
        request = client_request.ClientRequest(
            reactor=self._reactor,
            settings=self._settings,
            kind=self._settings.kinds[index],
            recorder=self._recorders[index],
            generator=self._generator,
            next_pool=self._pools.__next__,
            on_end=self._on_end,
        )
        self._outstanding.add(request)
        request.start(
            request_id,
            self._encoders[index].encode(request_id),
            intended_s,
            self._start_s,
        )

    def _on_end(self, request: client_request.ClientRequest) -> None:
        self._outstanding.discard(request)
        if not self._is_sending and not self._outstanding:
            self._finish()

    def _wait_for_outstanding(self) -> None:
        self._is_sending = False
        if not self._outstanding:
            self._finish()
            return
        self._reactor.callLater(
            self._settings.grace_s, self._cancel_outstanding
        )

    def _cancel_outstanding(self) -> None:
        for request in list(self._outstanding):
            request.cancel()

    def _finish(self) -> None:
        if not self._finished.called:
            self._finished.callback(self._build_report())

    def _build_report(self) -> report.LoadReport:
        total = recorder_module.Recorder()
        for recorder in self._recorders:
            total.add(recorder)
        names = [kind.name for kind in self._settings.kinds]
        return report.LoadReport(
            targets=list(self._settings.targets),
            rate=self._settings.rate,
            seconds=self._settings.seconds,
            seed=self._settings.seed,
            late_start_ms=self._late_start.report(),
            unsolicited=sum(pool.unsolicited for pool in self._all_pools),
            total=total.report(self._settings.seconds),
            kinds={
                name: recorder.report(self._settings.seconds)
                for name, recorder in zip(names, self._recorders, strict=True)
            },
        )
