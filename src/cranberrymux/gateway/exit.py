"""Takes requests for the backend server beside this node."""

import itertools
from typing import Any

from twisted.internet import task

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import backend_health
from cranberrymux.gateway import exit_call
from cranberrymux.gateway import exit_owner
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import socket_address
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call

TICK_S = 0.02
# Backend servers may slow down when they are nearly full.
SLOT_SHARE = 0.94
TELL_S = 1.0  # Least time between two lines on pressure.
# A request waits for its slot at most for this part of what its caller has.
LONGEST_WAIT_RATIO = 0.4
_Verdict = slot_scheduler.SlotVerdict


class Exit:
    """The handler of the hop port; keeps the slots of the backend server."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        presence: presence_module.Presence,
    ) -> None:
        """Starts idle."""
        self._parts = parts
        self._presence = presence
        self._pool = connection_pool.ConnectionPool(
            parts.reactor, accepts_close_delimited=True
        )
        self._gate = slot_scheduler.SlotScheduler(1)
        self._meter = share_meter.ShareMeter(parts.clock.now_s())
        self._health = backend_health.BackendHealth(parts)
        self._calls: dict[int, exit_call.ExitCall] = {}
        self._numbers = itertools.count(1)
        self._told_s = parts.clock.now_s()
        self._is_stopping = False
        self._ticking: Any = task.LoopingCall(self._expire)
        self._ticking.clock = parts.reactor

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return len(self._calls)

    def backend_changed(self) -> None:
        """Takes over slots and state of the backend server."""
        current = self._presence.current
        if current is not None:
            self._gate.set_slots(max(int(SLOT_SHARE * current.slots), 1))
        if not self._presence.is_serving(self._parts.clock.now_s()):
            self._refuse_all(self._gate.pop_all(), hop.DRAINING)
        self._start_waiting()

    def backend_heard(self, said: announcement.Announcement) -> None:
        """Takes an announcement of the backend server."""
        self._health.note_announcement(said)

    def stop(self) -> None:
        """Refuses new requests; those that run go on."""
        self._is_stopping = True
        self._refuse_all(self._gate.pop_all(), hop.STOPPING)

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Gives the request a slot, lets it wait, or refuses it."""
        now_s = self._parts.clock.now_s()
        name = self._parts.settings.dialect.deadline_ms
        said = headers_module.find(call.head.headers, name) or b"0"
        left_s = int(said) / 1000 if said.isdigit() else 0.0
        ticket_id = next(self._numbers)
        one = exit_call.ExitCall(
            self._parts, self, self._pool, call, ticket_id, now_s + left_s
        )
        reason = self._find_obstacle(call, now_s)
        if reason:
            one.refuse(reason)
            return
        if headers_module.find(call.head.headers, hop.AGAIN) is None:
            self._meter.note_arrival(one.route, one.standing.share)
        self._roll(now_s)
        verdict = self._gate.offer(
            now_s,
            slot_scheduler.Ticket(
                ticket_id,
                one.standing.rank,
                now_s + LONGEST_WAIT_RATIO * left_s,
                now_s + left_s,
            ),
        )
        self._refuse_all(self._gate.pop_evicted(), hop.FULL)
        if verdict is _Verdict.START:
            self._calls[ticket_id] = one
            self._begin(ticket_id)
        elif verdict is _Verdict.WAIT:
            self._calls[ticket_id] = one
            if not self._ticking.running:
                self._ticking.start(TICK_S, now=False)
        else:
            one.refuse(verdict.value.encode())

    # What calls tell.

    def load_of(self) -> bytes:
        """Requests that run and wait here, failures and slowness."""
        requests = self._gate.running + self._gate.waiting
        health = self._health
        return hop.encode_load(
            hop.LoadReport(requests, health.failure_rate, health.slowness)
        )

    def note_outcome(self, call: exit_owner.OwnedCall, is_failed: bool) -> bool:
        """Takes note of how a request ended, before its slot is taken back."""
        work = self._parts.running.find(call.ticket_id)
        is_due_to_call = is_failed and work is not None and work.depends_on_call
        if not is_due_to_call:
            self._health.note_outcome(is_failed)
        return is_due_to_call

    def call_started(
        self, call: exit_owner.OwnedCall, deadline_s: float
    ) -> None:
        """Takes note that a request is handed over."""
        self._parts.lineage.add(call.ticket_id, call.request_id, deadline_s)
        self._parts.running.begin(call.ticket_id, call.standing)

    def call_finished(
        self, call: exit_owner.OwnedCall, end: run_outcome.RunOutcome
    ) -> work_report.WorkReport:
        """Takes a slot back; returns what the request and its calls cost."""
        ticket_id = call.ticket_id
        if self._calls.pop(ticket_id, None) is None:
            return {}
        now_s = self._parts.clock.now_s()
        is_measured = end is not run_outcome.RunOutcome.UNANSWERED
        hold_s = self._gate.finish(now_s, ticket_id, is_measured)
        if is_measured:
            self._meter.note_hold(call.route, hold_s)
            self._parts.meters.hold_s.labels(call.route).observe(hold_s)
        work = self._parts.running.find(ticket_id)
        if work is not None:
            self._health.note_work_time(call.route, hold_s - work.called_s, end)
        self._roll(now_s)
        report = self._end_work(ticket_id, hold_s)
        self._start_waiting()
        return report

    def describe_load(self) -> dict[str, Any]:
        """Requests that run and wait, slots and failures, for a log line."""
        return {
            **self._health.describe(),
            "running": self._gate.running,
            "waiting": self._gate.waiting,
            "slots": self._gate.slots,
        }

    def update_meters(self) -> None:
        """Sets the gauges to what is so now."""
        self._health.log_transitions()
        meters = self._parts.meters
        meters.share.set(self._meter.share)
        meters.running.set(self._gate.running)
        meters.waiting.set(self._gate.waiting)

    def report_share(self) -> work_report.WorkReport:
        """The share of the offered work that fits here."""
        part = work_report.ServiceWork(0.0, self._meter.share)
        return {self._parts.settings.service: part}

    def _end_work(
        self, ticket_id: int, hold_s: float
    ) -> work_report.WorkReport:
        self._parts.lineage.remove(ticket_id)
        work = self._parts.running.find(ticket_id)
        self._parts.running.end(ticket_id)
        report = {} if work is None else work.report
        own = work_report.ServiceWork(hold_s, self._meter.share)
        work_report.add(report, {self._parts.settings.service: own})
        return report

    def _roll(self, now_s: float) -> None:
        waiting_s = self._gate.waiting * self._gate.mean_hold_s
        self._meter.roll(now_s, self._gate.slots, waiting_s)
        is_due = now_s - self._told_s >= TELL_S
        if self._meter.share < 1.0 and is_due:
            self._told_s = now_s
            self._tell_pressure()

    def _tell_pressure(self) -> None:
        self._parts.events.info(
            "pressure",
            service=self._parts.settings.service,
            share=round(self._meter.share, 3),
            use=round(self._meter.utilization, 3),
            **self.describe_load(),
            hold_ms=round(self._gate.mean_hold_s * 1000),
        )

    def call_left(self, ticket_id: int) -> None:
        """Takes note that a waiting request is gone."""
        self._calls.pop(ticket_id, None)
        self._gate.cancel(ticket_id)

    def _find_obstacle(
        self, call: inbound_call.InboundCall, now_s: float
    ) -> bytes:
        if self._is_stopping:
            return hop.STOPPING
        if not self._presence.is_serving(now_s):
            return hop.DRAINING
        current = self._presence.current
        target = headers_module.find(call.head.headers, hop.TARGET)
        if current is None or target != current.backend_id.encode():
            return hop.OTHER_BACKEND
        return b"" if self._health.admits() else hop.STALLED

    def _start_waiting(self) -> None:
        for ticket_id in self._gate.start_waiting(self._parts.clock.now_s()):
            self._begin(ticket_id)

    def _begin(self, ticket_id: int) -> None:
        current = self._presence.current
        assert current is not None
        address = socket_address.parse(current.address)
        assert address is not None
        self._calls[ticket_id].begin(
            connection_pool.Address(address.host, address.port),
            current.backend_id,
        )

    def _expire(self) -> None:
        self._refuse_all(
            self._gate.pop_expired(self._parts.clock.now_s()), hop.FULL
        )
        if not self._gate.waiting and self._ticking.running:
            self._ticking.stop()

    def _refuse_all(self, ticket_ids: list[int], reason: bytes) -> None:
        for ticket_id in ticket_ids:
            one = self._calls.pop(ticket_id, None)
            if one is not None:
                one.refuse(reason)
