"""The hop port: gives requests the slots of the backend server."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.gateway import exit_call
from cranberrymux.gateway import exit_limit
from cranberrymux.gateway import exit_suspects
from cranberrymux.gateway import exit_work
from cranberrymux.gateway import hop
from cranberrymux.gateway import owned_call
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import peer_messages
from cranberrymux.models import socket_address
from cranberrymux.node import deadline_table
from cranberrymux.node import suspect_message
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import inbound_call

QUEUE_INTERVAL_S = 0.02
# Part of the slots that is used; backend servers may slow down when nearly
# full.
USED_SLOT_RATIO = 0.94
# Most bytes of the bodies of all requests that wait. Short bodies always fit:
# the queue bounds their number.
MAXIMUM_HELD_BYTES = 48 << 20
SHORT_BODY_BYTES = 65_536
_Verdict = slot_scheduler.SlotVerdict
_WITHOUT_SLOT = frozenset((hop.FULL, hop.LIMITED, hop.TOO_LATE))


class Exit:
    """Handler of the hop port, where a node takes requests of other nodes.

    It starts, queues or refuses the requests for its backend server and
    measures what they cost.

    Attributes:
        deadlines: Calls requests back whose caller has given up.
        limit: The rate limit of the backend server.
        suspects: Requests that may crash the backend server.
        work: What the requests cost.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        presence: presence_module.Presence,
        on_leaving: Callable[[str], Any],
    ) -> None:
        """Starts without requests, with one slot.

        Args:
            parts: Shared state of the gateway.
            presence: State of the backend server.
            on_leaving: Called with the id of the backend server when an answer
                first says that it is leaving.
        """
        self._parts = parts
        self._presence = presence
        self._pool = connection_pool.ConnectionPool(
            parts.reactor,
            accepts_close_delimited=True,
            on_unexpected=parts.note_unexpected_answer,
        )
        self.deadlines = deadline_table.DeadlineTable(
            parts.reactor, parts.clock
        )
        self._scheduler = slot_scheduler.SlotScheduler(1)
        self.work = exit_work.ExitWork(parts, self._scheduler)
        self._peer_messages = peer_messages.PeerMessages(parts)
        self.limit = exit_limit.ExitLimit(
            parts, self._scheduler, self.work, on_leaving
        )
        self.suspects = exit_suspects.ExitSuspects(parts, self._scheduler, self)
        parts.quarantine.losses.on_dead = self._backend_unreachable
        parts.quarantine.losses.is_end_planned = self._is_end_planned
        self._calls: dict[int, exit_call.ExitCall] = {}
        self._last_ticket_id = 0
        self._is_stopping = False
        self._queue_loop: Any = task.LoopingCall(self._serve_queue)
        self._queue_loop.clock = parts.reactor

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait here."""
        return len(self._calls)

    def backend_changed(self) -> None:
        """Applies the current slots and state of the backend server."""
        current = self._presence.current
        if current is not None:
            self.limit.use_process(current.process)
            slots = max(int(USED_SLOT_RATIO * current.slots), 1)
            self._scheduler.set_slots(slots)
            self.suspects.set_slots(slots)
        now_s = self._parts.clock.now_s()
        if not self._presence.is_serving(now_s):
            self._refuse_all_waiting(hop.DRAINING)
        self._start_waiting(now_s)

    def announcement_received(
        self,
        received: announcement.Announcement,
        previous: announcement.Announcement | None,
    ) -> None:
        """Passes an announcement of the backend server on.

        Args:
            received: The announcement.
            previous: The one before it; None if it is the first.
        """
        self.work.health.note_announcement(received)
        self.suspects.announcement_received(received, previous)

    def stop(self) -> None:
        """Refuses new and waiting requests; running ones continue."""
        self._is_stopping = True
        self._refuse_all_waiting(hop.STOPPING)

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Starts, queues or refuses a request; takes messages of nodes."""
        head = call.head
        if head.target == suspect_message.TARGET and (
            self._peer_messages.handle(call)
        ):
            return
        now_s = self._parts.clock.now_s()
        headers = head.headers
        self._last_ticket_id += 1
        ticket_id = self._last_ticket_id
        hop_call = exit_call.ExitCall(
            self._parts, self, self._pool, call, ticket_id, now_s
        )
        reason = self._find_refusal_reason(call, now_s)
        if reason:
            hop_call.refuse(reason)
            return
        if hop.KNOWN_RATE_LIMIT in headers.first:
            self.limit.note_request(headers, hop_call.request_id)
        self._calls[ticket_id] = hop_call
        may_be_suspect = self.suspects.records or hop.SUSPECT in headers.first
        if not may_be_suspect or not self.suspects.hold(hop_call):
            self.offer_slot(ticket_id, now_s)
        if self.suspects.held_ids:
            self._watch_queue()

    # Owner of the suspects.

    def offer_slot(self, ticket_id: int, now_s: float) -> None:
        """Starts, queues or refuses a request beside others."""
        hop_call = self._calls[ticket_id]
        if not hop_call.is_resent:
            self.work.pressure.note_arrival(
                hop_call.route, hop_call.tree_context
            )
        if now_s >= self.work.pressure.due_s:
            self.work.pressure.update(now_s, self.limit.per_s)
        verdict = self._scheduler.offer(now_s, hop_call.ticket)
        if verdict is _Verdict.START:
            self._start_unless_quarantined(ticket_id, now_s)
        elif verdict is _Verdict.WAIT:
            self._refuse_waiting(self._scheduler.pop_evicted(), hop.FULL)
            if self._holds_too_much(hop_call):
                self._scheduler.cancel(ticket_id)
                self.refuse_held(ticket_id, hop.FULL)
            self._watch_queue()
        else:
            self.refuse_held(ticket_id, verdict.value.encode())

    def start_alone(self, ticket_id: int) -> None:
        """Starts a request while no other runs."""
        now_s = self._parts.clock.now_s()
        self._scheduler.start_alone(now_s, ticket_id)
        self._start_call(ticket_id, now_s)

    def refuse_held(self, ticket_id: int, reason: bytes) -> None:
        """Refuses a request that did not start."""
        self._refuse_waiting([ticket_id], reason)

    def is_open(self, ticket_id: int) -> bool:
        """True unless a request has ended or was cancelled."""
        return ticket_id in self._calls

    # Owner of the calls.

    def call_finished(
        self,
        call: owned_call.OwnedCall,
        outcome: run_outcome.RunOutcome,
        now_s: float,
    ) -> bytes:
        """Frees a slot; returns the encoded work of the request and its calls.

        It is empty if the request has ended before.
        """
        if self._calls.pop(call.ticket_id, None) is None:
            return b""
        self.deadlines.remove(call.deadline_key)
        work = self.work.end_run(call, outcome, self.limit.per_s, now_s)
        if self.suspects.held_ids:
            self.suspects.ended(call.ticket_id)
        self._start_waiting(now_s)
        return work

    def update_metrics(self) -> None:
        """Updates the gauges and checks the health."""
        self.work.update_metrics()

    def remove_waiting(self, ticket_id: int) -> None:
        """Removes a waiting request whose sender cancelled it."""
        self._calls.pop(ticket_id, None)
        self._scheduler.cancel(ticket_id)
        self.suspects.ended(ticket_id)

    def _holds_too_much(self, hop_call: exit_call.ExitCall) -> bool:
        """True if there is no memory for the long body of a request."""
        if hop_call.held_bytes <= SHORT_BODY_BYTES:
            return False
        held_bytes = sum(call.held_bytes for call in self._calls.values())
        return held_bytes > MAXIMUM_HELD_BYTES

    def _find_refusal_reason(
        self, call: inbound_call.InboundCall, now_s: float
    ) -> bytes:
        if self._is_stopping:
            return hop.STOPPING
        if self._parts.routes.table is None:
            # The suspects come with the first configuration.
            return hop.STARTING
        if now_s > self._presence.serving_until_s:
            return hop.DRAINING
        target = call.head.headers.first.get(hop.TARGET)
        if target != self._presence.encoded_id:
            return hop.OTHER_BACKEND
        return b"" if self.work.health.admits(now_s) else hop.STALLED

    def _is_end_planned(self) -> bool:
        current = self._presence.current
        return (
            current is not None
            and current.state is announcement.BackendState.DRAINING
        )

    def _backend_unreachable(self) -> None:
        """Lets other backend servers have the requests that wait for this."""
        self._refuse_all_waiting(hop.UNREACHABLE)

    def _start_waiting(self, now_s: float) -> None:
        if self.suspects.held_ids:
            self.suspects.advance()
        for ticket_id in self._scheduler.start_waiting(now_s):
            self._start_unless_quarantined(ticket_id, now_s)

    def _start_unless_quarantined(self, ticket_id: int, now_s: float) -> None:
        """Starts a request that has a slot.

        Backend servers may have died under it elsewhere while it waited.
        """
        if self.suspects.records and self.suspects.is_refused(
            self._calls[ticket_id].digest
        ):
            self._scheduler.finish(now_s, ticket_id, False)
            self.refuse_held(ticket_id, hop.QUARANTINED)
        else:
            self._start_call(ticket_id, now_s)

    def _start_call(self, ticket_id: int, now_s: float) -> None:
        current = self._presence.current
        assert current is not None
        address = socket_address.parse(current.address)
        assert address is not None
        self._calls[ticket_id].begin(
            address, self._presence.process, self._presence.encoded_id, now_s
        )

    def _serve_queue(self) -> None:
        """Starts the requests that have got a token and refuses late ones."""
        now_s = self._parts.clock.now_s()
        self._start_waiting(now_s)
        self._refuse_waiting(
            self._scheduler.pop_expired(now_s),
            hop.LIMITED if self._scheduler.is_rate_limited else hop.FULL,
        )
        if not self._is_waiting and self._queue_loop.running:
            self._queue_loop.stop()

    @property
    def _is_waiting(self) -> bool:
        return bool(self._scheduler.waiting or self.suspects.waiting)

    def _watch_queue(self) -> None:
        if self._is_waiting and not self._queue_loop.running:
            self._queue_loop.start(QUEUE_INTERVAL_S, now=False)

    def _refuse_all_waiting(self, reason: bytes) -> None:
        waiting = self._scheduler.pop_all() + self.suspects.pop_waiting()
        self._refuse_waiting(waiting, reason)

    def _refuse_waiting(self, ticket_ids: list[int], reason: bytes) -> None:
        for ticket_id in ticket_ids:
            hop_call = self._calls.pop(ticket_id, None)
            if hop_call is not None:
                self.suspects.ended(ticket_id)
                if reason in _WITHOUT_SLOT:
                    self._note_refusal(hop_call)
                hop_call.refuse(reason)

    def _note_refusal(self, hop_call: exit_call.ExitCall) -> None:
        if hop.RESENT not in hop_call.headers.first:
            self.work.pressure.note_refusal(
                hop_call.route, hop_call.tree_context
            )
