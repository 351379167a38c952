"""Single decisions of the admission controller.

Guards against calls that start in the wrong order, wait past their deadline
or are neither started nor refused after a cancel, an eviction or a drain.
"""

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


def make_admission(**changes):
    settings = admission_settings.AdmissionSettings(slots=1)
    settings = settings._replace(**changes)
    return controller.AdmissionController(settings, random.Random(1))


def make_call(ticket_id, priority=0, deadline_s=10.0):
    return ticket.Ticket(ticket_id, priority, priority // 128, deadline_s)


def test_admits_up_to_slots_then_queues():
    admission = make_admission(slots=2)
    assert admission.offer(0.0, make_call("a")) == admitted.Admitted(0.0)
    assert admission.offer(0.0, make_call("b")) == admitted.Admitted(0.0)
    assert admission.offer(0.0, make_call("c")) == queued.Queued(0.5)
    assert admission.next_poll_s(0.0) == 0.5
    admission.finish(0.1, "a", OK)
    assert admission.next_poll_s(0.1) == 0.1
    assert admission.poll(0.1) == [("c", admitted.Admitted(0.1))]
    assert admission.next_poll_s(0.1) is None


def test_starts_queued_calls_in_order_of_class():
    admission = make_admission()
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("low", 300))
    admission.offer(0.0, make_call("high", 5))
    admission.finish(0.01, "running", OK)
    assert [ticket_id for ticket_id, _ in admission.poll(0.01)] == ["high"]


def test_evicts_least_important_class_from_full_queue():
    admission = make_admission(minimum_queue_length=1)
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("low", 300))
    assert isinstance(admission.offer(0.0, make_call("high", 5)), queued.Queued)
    ((ticket_id, verdict),) = admission.poll(0.0)
    assert ticket_id == "low"
    assert verdict.reason is refusal_reason.RefusalReason.QUEUE_FULL
    assert isinstance(
        admission.offer(0.0, make_call("low2", 300)), refusal.Refusal
    )


def test_refuses_at_once_call_that_cannot_meet_its_deadline():
    admission = make_admission()
    admission.offer(0.0, make_call("first"))
    admission.finish(0.1, "first", OK)
    admission.offer(0.2, make_call("running"))
    verdict = admission.offer(0.2, make_call("late", deadline_s=0.35))
    assert isinstance(verdict, refusal.Refusal)
    assert verdict.kind is answer_kind.AnswerKind.NOT_RUN
    assert verdict.retry_after_ms > 0


def test_refuses_call_with_passed_deadline():
    verdict = make_admission().offer(2.0, make_call("late", deadline_s=1.0))
    assert verdict.reason is refusal_reason.RefusalReason.DEADLINE_EXPIRED


@pytest.mark.parametrize(("priority", "wait_s"), [(1000, 0.25), (5, 0.5)])
def test_refuses_queued_call_at_maximum_wait(priority, wait_s):
    admission = make_admission()
    admission.offer(0.0, make_call("running"))
    assert admission.offer(
        0.0, make_call("waiting", priority)
    ) == queued.Queued(wait_s)
    assert admission.next_poll_s(0.0) == wait_s
    ((ticket_id, verdict),) = admission.poll(wait_s)
    assert ticket_id == "waiting"
    assert verdict.reason is refusal_reason.RefusalReason.OVERLOADED


def test_cancelled_queued_call_never_starts():
    admission = make_admission()
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("waiting"))
    assert admission.cancel(0.1, "waiting")
    assert not admission.cancel(0.1, "running")
    admission.finish(0.1, "running", OK)
    assert admission.poll(0.1) == []


def test_cancelled_evicted_call_is_not_polled():
    admission = make_admission(minimum_queue_length=1)
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("low", 300))
    admission.offer(0.0, make_call("high", 5))
    assert admission.cancel(0.0, "low")
    assert admission.poll(0.0) == []


def test_drain_refuses_new_and_queued_calls_and_lets_running_finish():
    admission = make_admission()
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("waiting"))
    admission.begin_drain(0.1)
    assert admission.next_poll_s(0.1) == 0.1
    ((ticket_id, verdict),) = admission.poll(0.1)
    assert ticket_id == "waiting"
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
    verdict = admission.offer(0.1, make_call("new"))
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
    assert verdict.kind is answer_kind.AnswerKind.NOT_RUN
    assert not admission.is_drained
    admission.finish(0.2, "running", OK)
    assert admission.is_drained


def test_queued_call_starts_when_slots_are_added():
    admission = make_admission()
    admission.offer(0.0, make_call("running"))
    admission.offer(0.0, make_call("waiting"))
    admission.set_slots(0.1, 2)
    assert [ticket_id for ticket_id, _ in admission.poll(0.1)] == ["waiting"]


def test_refuses_calls_above_downstream_level_until_it_expires():
    admission = make_admission(slots=10)
    admission.set_downstream_level(0.0, "leak-notes", 200)
    assert admission.level == 200
    assert isinstance(
        admission.offer(0.0, make_call("a", 201)), refusal.Refusal
    )
    assert isinstance(
        admission.offer(0.0, make_call("b", 200)), admitted.Admitted
    )
    assert isinstance(
        admission.offer(1.5, make_call("c", 201)), admitted.Admitted
    )
