"""A test double that checks every decision of an admission controller.

Keeps its own record of queued and running calls. The text of a failed
assertion names the broken invariant; `test_invariants` matches it.
"""

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_Reason = refusal_reason.RefusalReason


class CheckedController:
    """Forwards calls to a controller and asserts the invariants."""

    def __init__(self, settings, generator):
        self.settings = settings
        self.controller = controller.AdmissionController(settings, generator)
        self.waiting = {}
        self.running = {}
        self.is_draining = False

    def offer(self, now_s, call):
        verdict = self.controller.offer(now_s, call)
        assert not (self.is_draining and not is_refusal(verdict)), "drain"
        if isinstance(verdict, queued.Queued):
            assert verdict.expires_s <= now_s + 2 * self.maximum_wait_s, (
                "held too long"
            )
            assert verdict.expires_s <= call.deadline_s, "held too long"
            self.waiting[call.ticket_id] = (call, verdict.expires_s)
        elif isinstance(verdict, admitted.Admitted):
            self._check_order(call)
            self._start(now_s, call)
        else:
            self._check_refusal(call, verdict)
        return verdict

    def cancel(self, now_s, ticket_id):
        was_queued = self.controller.cancel(now_s, ticket_id)
        assert was_queued == (ticket_id in self.waiting), "cancel result"
        self.waiting.pop(ticket_id, None)

    def finish(self, now_s, ticket_id):
        self.running.pop(ticket_id)
        self.controller.finish(now_s, ticket_id, outcome.Outcome.OK)

    def poll(self, now_s):
        decisions = self.controller.poll(now_s)
        refused = [item for item in decisions if is_refusal(item[1])]
        for ticket_id, verdict in refused:
            call, _ = self.waiting.pop(ticket_id)
            self._check_refusal(call, verdict)
        for ticket_id, verdict in decisions:
            if is_refusal(verdict):
                continue
            assert not self.is_draining, "drain"
            call, expires_s = self.waiting.pop(ticket_id)
            assert now_s <= expires_s, "held too long"
            self._check_order(call)
            self._start(now_s, call)
        for call, expires_s in self.waiting.values():
            assert expires_s > now_s, f"held too long: {call.ticket_id}"
        return decisions

    def begin_drain(self, now_s):
        self.controller.begin_drain(now_s)
        self.is_draining = True
        running = set(self.running)
        self.poll(now_s)
        assert not self.waiting, "drain"
        assert set(self.running) == running, "drain"

    def check(self):
        assert self.controller.in_flight == len(self.running)
        assert self.controller.limit <= self.settings.slots
        drained = self.is_draining and not self.running
        assert self.controller.is_drained == drained, "drain"

    @property
    def maximum_wait_s(self):
        return max(
            self.settings.maximum_wait_s,
            self.settings.maximum_exclusive_wait_s / 2,
        )

    def _start(self, now_s, call):
        assert now_s < call.deadline_s, "held too long"
        assert len(self.running) < self.settings.slots, "more calls than slots"
        others = self.running.values()
        suspects = [other for other in others if other.is_suspect]
        assert not (call.is_suspect and suspects), "second suspect"
        assert not any(other.is_exclusive for other in others), "not alone"
        assert not (call.is_exclusive and self.running), "not alone"
        self.running[call.ticket_id] = call

    def _check_order(self, started):
        if started.is_exclusive:
            return
        for call, _ in self.waiting.values():
            if not call.is_exclusive:
                assert call.class_rank >= started.class_rank, "class order"

    def _check_refusal(self, call, verdict):
        assert verdict.kind is answer_kind.AnswerKind.NOT_RUN
        assert verdict.retry_after_ms > 0
        if verdict.reason is _Reason.QUEUE_FULL:
            for waiting, _ in self.waiting.values():
                if not waiting.is_exclusive:
                    assert waiting.priority <= call.priority, "class order"


def is_refusal(verdict):
    return isinstance(verdict, refusal.Refusal)


def drive(checked, generator, steps):
    """Runs random steps, polling whenever the controller asks for it."""
    now_s = 0.0
    drain_at = steps * 9 // 10
    for step in range(steps):
        until_s = now_s + generator.expovariate(200.0)
        next_s = checked.controller.next_poll_s(now_s)
        while next_s is not None and next_s <= until_s:
            now_s = next_s
            checked.poll(now_s)
            next_s = checked.controller.next_poll_s(now_s)
        now_s = until_s
        if step == drain_at:
            checked.begin_drain(now_s)
        take_random_action(checked, generator, now_s, str(step))
        checked.check()


def take_random_action(checked, generator, now_s, ticket_id):
    """Offers, cancels or finishes one random call, then polls."""
    chance = generator.random()
    if chance < 0.55 or not checked.running:
        priority = generator.randrange(4 * 128)
        call = ticket.Ticket(
            ticket_id,
            priority,
            priority // 128,
            now_s + generator.choice((0.05, 0.3, 2.0)),
            is_suspect=chance < 0.02,
            is_exclusive=chance < 0.01,
        )
        checked.offer(now_s, call)
    elif chance < 0.6 and checked.waiting:
        checked.cancel(now_s, generator.choice(sorted(checked.waiting)))
    else:
        checked.finish(now_s, generator.choice(sorted(checked.running)))
    checked.poll(now_s)
