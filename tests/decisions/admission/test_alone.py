"""A suspect runs alone on its endpoint."""

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


def make(**changes):
    settings = admission_settings.AdmissionSettings(slots=4, **changes)
    return controller.AdmissionController(settings, random.Random(1))


def call(ticket_id, runs_alone=False):
    return ticket.Ticket(ticket_id, 0, 0, 100.0, runs_alone, runs_alone)


def suspect(ticket_id):
    return ticket.Ticket(ticket_id, 0, 0, 100.0, is_suspect=True)


def test_one_suspect_at_a_time_runs_beside_others():
    one = make()
    one.offer(0.0, call("a"))
    assert isinstance(one.offer(0.0, suspect("s")), admitted.Admitted)
    assert isinstance(one.offer(0.0, call("b")), admitted.Admitted)
    assert isinstance(one.offer(0.0, suspect("s2")), refusal.Refusal)
    one.finish(0.1, "s", OK)
    assert isinstance(one.offer(0.1, suspect("s3")), admitted.Admitted)


def test_a_queued_suspect_counts_until_it_is_cancelled_or_expires():
    one = make()
    for name in "abcd":
        one.offer(0.0, call(name))
    assert isinstance(one.offer(0.0, suspect("s")), queued.Queued)
    assert isinstance(one.offer(0.0, suspect("s2")), refusal.Refusal)
    assert one.cancel(0.0, "s")
    assert isinstance(one.offer(0.0, suspect("s3")), queued.Queued)
    assert [name for name, _ in one.poll(0.5)] == ["s3"]
    assert isinstance(one.offer(0.5, suspect("s4")), queued.Queued)


def test_a_suspect_starts_at_once_on_an_idle_endpoint():
    one = make()
    assert isinstance(one.offer(0.0, call("s", True)), admitted.Admitted)
    assert isinstance(one.offer(0.0, call("a")), queued.Queued)
    assert one.next_poll_s(0.0) == 0.5
    one.finish(0.1, "s", OK)
    assert [name for name, _ in one.poll(0.1)] == ["a"]


def test_a_suspect_waits_until_the_endpoint_is_idle():
    one = make()
    one.offer(0.0, call("a"))
    one.offer(0.0, call("b"))
    assert one.offer(0.0, call("s", True)) == queued.Queued(1.0)
    one.offer(0.0, call("c"))
    one.finish(0.1, "a", OK)
    assert one.poll(0.1) == []
    one.finish(0.2, "b", OK)
    assert one.next_poll_s(0.2) == 0.2
    assert one.poll(0.2) == [("s", admitted.Admitted(0.2))]
    assert one.in_flight == 1


def test_a_second_suspect_is_refused_at_once():
    one = make()
    one.offer(0.0, call("s", True))
    verdict = one.offer(0.0, call("s2", True))
    assert isinstance(verdict, refusal.Refusal)
    assert verdict.retry_after_ms > 0


def test_suspects_take_at_most_their_share():
    one = make()
    one.offer(0.0, call("s", True))
    one.finish(1.0, "s", OK)
    assert isinstance(one.offer(9.9, call("s2", True)), refusal.Refusal)
    assert isinstance(one.offer(10.0, call("s3", True)), admitted.Admitted)


def test_a_suspect_gives_up_on_a_busy_endpoint():
    one = make()
    one.offer(0.0, call("a"))
    one.offer(0.0, call("s", True))
    assert one.next_poll_s(0.5) == 1.0
    ((name, verdict),) = one.poll(1.0)
    assert name == "s"
    assert verdict.reason is refusal_reason.RefusalReason.OVERLOADED
    assert isinstance(one.offer(1.0, call("b")), admitted.Admitted)


def test_a_cancelled_suspect_opens_the_gate():
    one = make()
    one.offer(0.0, call("a"))
    one.offer(0.0, call("s", True))
    assert one.cancel(0.1, "s")
    assert isinstance(one.offer(0.1, call("b")), admitted.Admitted)


def test_drain_refuses_a_waiting_suspect():
    one = make()
    one.offer(0.0, call("a"))
    one.offer(0.0, call("s", True))
    one.begin_drain(0.1)
    ((name, verdict),) = one.poll(0.1)
    assert name == "s"
    assert verdict.reason is refusal_reason.RefusalReason.DRAINING
