"""Isolation of suspect calls at one endpoint.

A call suspected of crashing backend servers must not run beside another
suspect, or, if it must run alone, beside any call. If the isolation fails,
one crash takes other calls with it or cannot be attributed to one call. If
the endpoint is not reopened afterwards, it serves nothing.
"""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

OK = outcome.Outcome.OK


def make_admission(**changes):
    settings = admission_settings.AdmissionSettings(slots=4, **changes)
    return controller.AdmissionController(settings, random.Random(1))


def make_call(ticket_id, is_exclusive=False):
    return ticket.Ticket(ticket_id, 0, 0, 100.0, is_exclusive, is_exclusive)


def make_suspect(ticket_id):
    return ticket.Ticket(ticket_id, 0, 0, 100.0, is_suspect=True)


def test_refuses_second_suspect_while_one_runs_beside_normal_calls():
    admission = make_admission()
    admission.offer(0.0, make_call("a"))
    assert isinstance(
        admission.offer(0.0, make_suspect("s")), admitted.Admitted
    )
    assert isinstance(admission.offer(0.0, make_call("b")), admitted.Admitted)
    assert isinstance(admission.offer(0.0, make_suspect("s2")), refusal.Refusal)
    admission.finish(0.1, "s", OK)
    assert isinstance(
        admission.offer(0.1, make_suspect("s3")), admitted.Admitted
    )


def test_refuses_second_suspect_until_queued_one_is_cancelled_or_expires():
    admission = make_admission()
    for ticket_id in "abcd":
        admission.offer(0.0, make_call(ticket_id))
    assert isinstance(admission.offer(0.0, make_suspect("s")), queued.Queued)
    assert isinstance(admission.offer(0.0, make_suspect("s2")), refusal.Refusal)
    assert admission.cancel(0.0, "s")
    assert isinstance(admission.offer(0.0, make_suspect("s3")), queued.Queued)
    assert [ticket_id for ticket_id, _ in admission.poll(0.5)] == ["s3"]
    assert isinstance(admission.offer(0.5, make_suspect("s4")), queued.Queued)


def test_exclusive_suspect_starts_at_once_on_idle_endpoint():
    admission = make_admission()
    assert isinstance(
        admission.offer(0.0, make_call("s", True)), admitted.Admitted
    )
    assert isinstance(admission.offer(0.0, make_call("a")), queued.Queued)
    assert admission.next_poll_s(0.0) == 0.5
    admission.finish(0.1, "s", OK)
    assert [ticket_id for ticket_id, _ in admission.poll(0.1)] == ["a"]


def test_exclusive_suspect_waits_until_endpoint_is_idle():
    admission = make_admission()
    admission.offer(0.0, make_call("a"))
    admission.offer(0.0, make_call("b"))
    assert admission.offer(0.0, make_call("s", True)) == queued.Queued(1.0)
    admission.offer(0.0, make_call("c"))
    admission.finish(0.1, "a", OK)
    assert admission.poll(0.1) == []
    admission.finish(0.2, "b", OK)
    assert admission.next_poll_s(0.2) == 0.2
    assert admission.poll(0.2) == [("s", admitted.Admitted(0.2))]
    assert admission.in_flight == 1


def test_refuses_second_exclusive_suspect_at_once():
    admission = make_admission()
    admission.offer(0.0, make_call("s", True))
    verdict = admission.offer(0.0, make_call("s2", True))
    assert isinstance(verdict, refusal.Refusal)
    assert verdict.retry_after_ms > 0


def test_refuses_exclusive_suspect_during_cooldown():
    admission = make_admission()
    admission.offer(0.0, make_call("s", True))
    admission.finish(1.0, "s", OK)
    assert isinstance(
        admission.offer(9.9, make_call("s2", True)), refusal.Refusal
    )
    assert isinstance(
        admission.offer(10.0, make_call("s3", True)), admitted.Admitted
    )


def test_exclusive_suspect_on_busy_endpoint_expires():
    admission = make_admission()
    admission.offer(0.0, make_call("a"))
    admission.offer(0.0, make_call("s", True))
    assert admission.next_poll_s(0.5) == 1.0
    ((ticket_id, verdict),) = admission.poll(1.0)
    assert ticket_id == "s"
    assert verdict.reason is refusal_reason.RefusalReason.OVERLOADED
    assert isinstance(admission.offer(1.0, make_call("b")), admitted.Admitted)


def test_cancelling_exclusive_suspect_lets_normal_calls_start():
    admission = make_admission()
    admission.offer(0.0, make_call("a"))
    admission.offer(0.0, make_call("s", True))
    assert admission.cancel(0.1, "s")
    assert isinstance(admission.offer(0.1, make_call("b")), admitted.Admitted)


def test_drain_refuses_waiting_exclusive_suspect():
    admission = make_admission()
    admission.offer(0.0, make_call("a"))
    admission.offer(0.0, make_call("s", True))
    admission.begin_drain(0.1)
    ((ticket_id, verdict),) = admission.poll(0.1)
    assert ticket_id == "s"
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
