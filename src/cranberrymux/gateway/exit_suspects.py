"""Suspects among the requests for the backend server beside this node."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet import defer

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import suspect_queue
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import suspicion
from cranberrymux.models import refusal
from cranberrymux.models import socket_address
from cranberrymux.node.http import headers as headers_module

# Suspects that may run at the same time, per slot. More end sooner, but a
# death under several of them does not tell which is the cause.
SUSPECTS_PER_SLOT = 1 / 16


class SuspectCall(Protocol):
    """A request at the hop port, as far as the quarantine needs it.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        digest: Digest of its content.
        rank: Order of starting; lower ranks start first.
        start_by_s: Monotonic seconds after which a start is of no use.
        deadline_s: Monotonic seconds at which its caller gives up.
        headers: Headers of the request, with what its sender knows.
    """

    ticket_id: int
    digest: str
    rank: float
    start_by_s: float
    deadline_s: float
    headers: headers_module.Headers


class SuspectOwner(Protocol):
    """Starts and refuses the requests that the queue holds."""

    def offer_slot(self, ticket_id: int, now_s: float) -> None:
        """Offers a request a slot beside others."""

    def start_alone(self, ticket_id: int) -> None:
        """Starts a request while no other runs."""

    def refuse_held(self, ticket_id: int, reason: bytes) -> None:
        """Refuses a request that did not start."""

    def is_open(self, ticket_id: int) -> bool:
        """True unless the request has ended or was cancelled."""


class ExitSuspects:
    """Holds suspects until their turn, and reports runs to the quarantine.

    Attributes:
        held_ids: Numbers of the suspects that wait or run.
        records: Records of the quarantine; no request is a suspect while it
            is empty and no sender tells of one.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        scheduler: slot_scheduler.SlotScheduler,
        owner: SuspectOwner,
    ) -> None:
        """Starts without suspects.

        Args:
            parts: Shared state of the gateway.
            scheduler: The slots of the backend server.
            owner: Starts and refuses requests.
        """
        self._parts = parts
        self._quarantine = parts.quarantine
        self.records = parts.quarantine.records
        self._scheduler = scheduler
        self._owner = owner
        self._queue = suspect_queue.SuspectQueue()
        self.held_ids: set[int] = set()
        # Trials that were not handed over yet, by ticket id.
        self._waiting_trials: dict[int, suspect_report.SuspectReport] = {}

    @property
    def waiting(self) -> int:
        """Number of suspects that wait for their turn."""
        if not self.held_ids:
            return 0
        return self._queue.waiting + self._queue.is_closed

    def set_slots(self, slots: int) -> None:
        """Applies the number of slots of the backend server."""
        self._queue.set_width(int(slots * SUSPECTS_PER_SLOT))

    def hold(self, call: SuspectCall) -> bool:
        """Takes a request that is a suspect; False if it is none."""
        if not call.digest:
            return False
        first = call.headers.first
        if hop.SUSPECT in first:
            suspicion.learn(self._parts, first)
        if not self.records:
            return False
        fingerprint = fingerprints.from_digest(call.digest)
        verdict = self._quarantine.classify(fingerprint)
        if verdict is isolation.Isolation.CLEAR:
            return False
        if isinstance(verdict, refusal.Refusal):
            self._try_once_more(call, fingerprint)
        else:
            self._enqueue(
                call, call.start_by_s, verdict is isolation.Isolation.ALONE
            )
        return True

    def is_refused(self, digest: str) -> bool:
        """True if no request with this digest may run beside others now."""
        verdict = self._quarantine.classify(fingerprints.from_digest(digest))
        return isinstance(verdict, refusal.Refusal)

    def advance(self) -> None:
        """Starts the suspects whose turn has come; refuses late ones."""
        if not self.waiting:
            return
        now_s = self._parts.clock.now_s()
        for ticket_id in self._queue.pop_expired(now_s):
            self._owner.refuse_held(ticket_id, hop.SUSPECT_WAITS)
        while True:
            ticket = self._queue.take_next(now_s, self._scheduler.running)
            self._scheduler.set_paused(self._queue.is_closed)
            if ticket is None:
                return
            if ticket.runs_alone:
                self._owner.start_alone(ticket.ticket_id)
            else:
                self._owner.offer_slot(ticket.ticket_id, now_s)

    def pop_waiting(self) -> list[int]:
        """Removes and returns the suspects that wait for their turn."""
        popped = self._queue.pop_all(self._parts.clock.now_s())
        self._scheduler.set_paused(self._queue.is_closed)
        return popped

    def ended(self, ticket_id: int) -> None:
        """Gives up the turn of a request that ended or was refused."""
        if ticket_id in self._waiting_trials:
            self._quarantine.end_trial(self._waiting_trials.pop(ticket_id))
        if ticket_id in self.held_ids:
            self.held_ids.discard(ticket_id)
            self._queue.finish(self._parts.clock.now_s(), ticket_id)
            self._scheduler.set_paused(self._queue.is_closed)

    def encode(self, digest: str) -> headers_module.HeaderList:
        """Returns the header that tells the sender what is known here."""
        return suspicion.encode(self._parts, fingerprints.from_digest(digest))

    def announcement_received(
        self,
        received: announcement.Announcement,
        previous: announcement.Announcement | None,
    ) -> None:
        """Learns from an announcement whether the backend server died.

        Args:
            received: The announcement.
            previous: The one before it; None if it is the first.
        """
        if previous is None:
            return
        is_replaced = not received.process.may_be(previous.process)
        was_serving = previous.state is announcement.BackendState.SERVING
        if is_replaced and was_serving:
            self._quarantine.losses.process_replaced()
        else:
            self._quarantine.process_confirmed()

    # Runs.

    def run_started(self, call: SuspectCall) -> None:
        """Records that a request is sent to the backend server."""
        ticket_id = call.ticket_id
        if call.digest:
            self._quarantine.running.start(
                str(ticket_id),
                fingerprints.from_digest(call.digest),
                is_suspect=ticket_id in self.held_ids,
            )
        if ticket_id in self._waiting_trials:
            trial = self._waiting_trials.pop(ticket_id)
            self._quarantine.start_trial(str(ticket_id), trial)

    def run_ended(self, call: SuspectCall, *, is_clean: bool) -> None:
        """Records the end of a run.

        Args:
            call: The request.
            is_clean: True if it was run and its whole answer is no failure.
        """
        self._quarantine.finish(str(call.ticket_id), is_clean)

    def run_abandoned(self, call: SuspectCall) -> None:
        """Records that a run was cancelled, which may go on for a while."""
        self._quarantine.finish(str(call.ticket_id), False, may_still_run=True)

    def run_lost(
        self,
        call: SuspectCall,
        address: socket_address.SocketAddress,
        on_explained: Callable[[bool], None],
    ) -> None:
        """Finds out whether the backend server died under a run.

        Args:
            call: The request.
            address: Address of the backend server.
            on_explained: Called with True if it died.
        """
        self._quarantine.losses.add(str(call.ticket_id), address, on_explained)

    def _enqueue(
        self, call: SuspectCall, start_by_s: float, runs_alone: bool
    ) -> None:
        now_s = self._parts.clock.now_s()
        if runs_alone:
            start_by_s = min(
                start_by_s, now_s + suspect_queue.MAXIMUM_IDLE_WAIT_S
            )
        ticket = suspect_queue.SuspectTicket(
            call.ticket_id, call.rank, start_by_s, runs_alone
        )
        if not self._queue.offer(now_s, ticket):
            self._owner.refuse_held(call.ticket_id, hop.SUSPECT_WAITS)
            return
        self.held_ids.add(call.ticket_id)
        self.advance()

    def _try_once_more(
        self, call: SuspectCall, fingerprint: fingerprints.Fingerprint
    ) -> None:
        now_s = self._parts.clock.now_s()
        is_due = self._quarantine.get_trial_wait_s(fingerprint) <= 0
        if (
            is_due
            and self._queue.can_run_alone(now_s)
            and now_s < self._get_trial_start_by_s(call)
        ):
            self._queue.reserve()
            defer.ensureDeferred(self._claim_trial(call, fingerprint))
        else:
            self._owner.refuse_held(call.ticket_id, hop.QUARANTINED)

    def _get_trial_start_by_s(self, call: SuspectCall) -> float:
        """Returns until when a trial is to start, to end before its deadline.

        That is later than for other requests: a trial that does not start
        delays the next one by seconds, and no other node may run it.
        """
        return call.deadline_s - self._scheduler.mean_hold_s

    async def _claim_trial(
        self, call: SuspectCall, fingerprint: fingerprints.Fingerprint
    ) -> None:
        try:
            trial = await self._quarantine.claim_trial(fingerprint)
        finally:
            self._queue.release()
        if not self._owner.is_open(call.ticket_id):
            if trial is not None:
                self._quarantine.end_trial(trial)
        elif trial is None:
            self._owner.refuse_held(call.ticket_id, hop.QUARANTINED)
        else:
            self._waiting_trials[call.ticket_id] = trial
            start_by_s = self._get_trial_start_by_s(call)
            self._enqueue(call, start_by_s, runs_alone=True)
