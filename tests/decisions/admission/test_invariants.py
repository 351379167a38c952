"""Random runs keep the admission invariants; disabled mechanisms break them.

Each test of the second kind disables one mechanism and names the check that
must fail then. This shows that the check can find the fault.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.admission import admission_queue
from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import suspect_gate
from cranberrymux.decisions.admission import ticket_queue
from tests import profiles
from tests.decisions.admission import checked_controller

STEPS = 1500


def run(seed, slots=6):
    generator = random.Random(seed)
    settings = admission_settings.AdmissionSettings(slots=slots)
    checked = checked_controller.CheckedController(settings, generator)
    checked_controller.drive(checked, generator, STEPS)
    return checked


def run_until_broken(check):
    with pytest.raises(AssertionError, match=check):
        for seed in range(20):
            run(seed)


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=25)
@hypothesis.given(strategies.integers(0, 1 << 30), strategies.integers(1, 20))
def test_random_runs_keep_every_invariant(seed, slots):
    run(seed, slots)


def test_class_order_check_fails_if_queue_ignores_class(monkeypatch):
    push = ticket_queue.TicketQueue.push

    def ignore_class(self, now_s, ticket, expires_s):
        push(self, now_s, ticket._replace(class_rank=0), expires_s)

    monkeypatch.setattr(ticket_queue.TicketQueue, "push", ignore_class)
    run_until_broken("class order")


def test_class_order_check_fails_if_next_to_start_is_evicted(monkeypatch):
    next_to_start = ticket_queue.TicketQueue.next_to_start
    monkeypatch.setattr(
        ticket_queue.TicketQueue, "next_to_evict", next_to_start
    )
    run_until_broken("class order")


def test_held_check_fails_if_nothing_expires(monkeypatch):
    monkeypatch.setattr(
        ticket_queue.TicketQueue, "pop_expired", lambda self, now_s: None
    )
    monkeypatch.setattr(
        ticket_queue.TicketQueue, "next_expiry_s", property(lambda self: None)
    )
    run_until_broken("held too long")


def test_held_check_fails_if_wait_is_unbounded(monkeypatch):
    monkeypatch.setattr(
        admission_queue.AdmissionQueue,
        "_get_maximum_wait_s",
        lambda self, ticket: 3600.0,
    )
    run_until_broken("held too long")


def test_drain_check_fails_if_flag_is_not_set(monkeypatch):
    begin_drain = controller.AdmissionController.begin_drain

    def begin_drain_without_flag(self, now_s):
        begin_drain(self, now_s)
        self._is_draining = False

    monkeypatch.setattr(
        controller.AdmissionController, "begin_drain", begin_drain_without_flag
    )
    run_until_broken("drain")


def test_drain_check_fails_if_queue_is_not_emptied(monkeypatch):
    monkeypatch.setattr(
        admission_queue.AdmissionQueue, "refuse_all", lambda self, reason: None
    )
    run_until_broken("drain")


def test_alone_check_fails_if_gate_never_closes(monkeypatch):
    monkeypatch.setattr(
        suspect_gate.SuspectGate, "is_closed", property(lambda self: False)
    )
    run_until_broken("not alone")


def test_suspects_check_fails_if_every_suspect_is_accepted(monkeypatch):
    monkeypatch.setattr(
        suspect_gate.SuspectGate, "register", lambda self, ticket_id: True
    )
    run_until_broken("second suspect")
