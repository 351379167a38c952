"""One call at a time through the controller."""

import random

import pytest

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

OK = outcome.Outcome.OK


def make(**changes):
    settings = admission_settings.AdmissionSettings(slots=1)
    settings = settings._replace(**changes)
    return controller.AdmissionController(settings, random.Random(1))


def call(ticket_id, priority=0, deadline_s=10.0):
    return ticket.Ticket(ticket_id, priority, priority // 128, deadline_s)


def test_admits_up_to_the_slots_then_queues():
    one = make(slots=2)
    assert one.offer(0.0, call("a")) == admitted.Admitted(0.0)
    assert one.offer(0.0, call("b")) == admitted.Admitted(0.0)
    assert one.offer(0.0, call("c")) == queued.Queued(0.5)
    assert one.next_poll_s(0.0) == 0.5
    one.finish(0.1, "a", OK)
    assert one.next_poll_s(0.1) == 0.1
    assert one.poll(0.1) == [("c", admitted.Admitted(0.1))]
    assert one.next_poll_s(0.1) is None


def test_starts_queued_calls_in_order_of_class():
    one = make()
    one.offer(0.0, call("running"))
    one.offer(0.0, call("low", 300))
    one.offer(0.0, call("high", 5))
    one.finish(0.01, "running", OK)
    assert [name for name, _ in one.poll(0.01)] == ["high"]


def test_evicts_the_lowest_class_from_a_full_queue():
    one = make(minimum_queue=1)
    one.offer(0.0, call("running"))
    one.offer(0.0, call("low", 300))
    assert isinstance(one.offer(0.0, call("high", 5)), queued.Queued)
    ((name, verdict),) = one.poll(0.0)
    assert name == "low"
    assert verdict.reason is refusal_reason.RefusalReason.QUEUE_FULL
    assert isinstance(one.offer(0.0, call("low2", 300)), refusal.Refusal)


def test_refuses_what_cannot_meet_its_deadline_at_once():
    one = make()
    one.offer(0.0, call("first"))
    one.finish(0.1, "first", OK)
    one.offer(0.2, call("running"))
    verdict = one.offer(0.2, call("late", deadline_s=0.35))
    assert isinstance(verdict, refusal.Refusal)
    assert verdict.kind is answer_kind.AnswerKind.NOT_RUN
    assert verdict.retry_after_ms > 0


def test_refuses_an_expired_call():
    verdict = make().offer(2.0, call("late", deadline_s=1.0))
    assert verdict.reason is refusal_reason.RefusalReason.DEADLINE_EXPIRED


@pytest.mark.parametrize(("priority", "wait_s"), [(1000, 0.25), (5, 0.5)])
def test_never_queues_longer_than_the_stated_wait(priority, wait_s):
    one = make()
    one.offer(0.0, call("running"))
    assert one.offer(0.0, call("waiting", priority)) == queued.Queued(wait_s)
    assert one.next_poll_s(0.0) == wait_s
    ((name, verdict),) = one.poll(wait_s)
    assert name == "waiting"
    assert verdict.reason is refusal_reason.RefusalReason.OVERLOADED


def test_drops_a_cancelled_call():
    one = make()
    one.offer(0.0, call("running"))
    one.offer(0.0, call("waiting"))
    assert one.cancel(0.1, "waiting")
    assert not one.cancel(0.1, "running")
    one.finish(0.1, "running", OK)
    assert one.poll(0.1) == []


def test_cancels_an_evicted_call_before_it_was_told():
    one = make(minimum_queue=1)
    one.offer(0.0, call("running"))
    one.offer(0.0, call("low", 300))
    one.offer(0.0, call("high", 5))
    assert one.cancel(0.0, "low")
    assert one.poll(0.0) == []


def test_drain_refuses_new_and_queued_and_lets_running_finish():
    one = make()
    one.offer(0.0, call("running"))
    one.offer(0.0, call("waiting"))
    one.begin_drain(0.1)
    assert one.next_poll_s(0.1) == 0.1
    ((name, verdict),) = one.poll(0.1)
    assert name == "waiting"
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
    verdict = one.offer(0.1, call("new"))
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
    assert verdict.kind is answer_kind.AnswerKind.NOT_RUN
    assert not one.is_drained
    one.finish(0.2, "running", OK)
    assert one.is_drained


def test_more_slots_start_queued_calls():
    one = make()
    one.offer(0.0, call("running"))
    one.offer(0.0, call("waiting"))
    one.set_slots(0.1, 2)
    assert [name for name, _ in one.poll(0.1)] == ["waiting"]


def test_refuses_early_what_a_deeper_service_would_refuse():
    one = make(slots=10)
    one.set_downstream_level(0.0, "leak-notes", 200)
    assert one.level == 200
    assert isinstance(one.offer(0.0, call("a", 201)), refusal.Refusal)
    assert isinstance(one.offer(0.0, call("b", 200)), admitted.Admitted)
    assert isinstance(one.offer(1.5, call("c", 201)), admitted.Admitted)
