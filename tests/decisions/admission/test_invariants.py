"""Random runs keep the invariants; a run without a mechanism breaks them.

Each test of the second kind takes one mechanism out and names the check that
must fail then.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import suspect_gate
from cranberrymux.decisions.admission import ticket_queue
from cranberrymux.decisions.admission import waiting_room
from tests.decisions.admission import checked

STEPS = 1500


def run(seed, slots=6):
    generator = random.Random(seed)
    settings = admission_settings.AdmissionSettings(slots=slots)
    one = checked.Checked(settings, generator)
    checked.drive(one, generator, STEPS)
    return one


def run_until_broken(check):
    with pytest.raises(AssertionError, match=check):
        for seed in range(20):
            run(seed)


@hypothesis.settings(derandomize=True, database=None, max_examples=25)
@hypothesis.given(strategies.integers(0, 1 << 30), strategies.integers(1, 20))
def test_random_runs_keep_every_invariant(seed, slots):
    run(seed, slots)


def test_class_order_fails_when_the_queue_ignores_the_class(monkeypatch):
    push = ticket_queue.TicketQueue.push

    def ignore_class(self, now_s, ticket, expires_s):
        push(self, now_s, ticket._replace(class_rank=0), expires_s)

    monkeypatch.setattr(ticket_queue.TicketQueue, "push", ignore_class)
    run_until_broken("class order")


def test_class_order_fails_when_eviction_takes_the_first(monkeypatch):
    first = ticket_queue.TicketQueue.first
    monkeypatch.setattr(ticket_queue.TicketQueue, "last", first)
    run_until_broken("class order")


def test_never_held_fails_when_nothing_expires(monkeypatch):
    monkeypatch.setattr(
        ticket_queue.TicketQueue, "pop_expired", lambda self, now_s: None
    )
    monkeypatch.setattr(
        ticket_queue.TicketQueue, "next_expiry_s", property(lambda self: None)
    )
    run_until_broken("held")


def test_never_held_fails_when_the_wait_is_not_bounded(monkeypatch):
    monkeypatch.setattr(
        waiting_room.WaitingRoom,
        "_get_longest_wait_s",
        lambda self, ticket: 3600.0,
    )
    run_until_broken("held")


def test_drain_fails_when_the_flag_is_not_set(monkeypatch):
    begin_drain = controller.AdmissionController.begin_drain

    def forget(self, now_s):
        begin_drain(self, now_s)
        self._is_draining = False

    monkeypatch.setattr(controller.AdmissionController, "begin_drain", forget)
    run_until_broken("drain")


def test_drain_fails_when_the_queue_is_not_closed(monkeypatch):
    monkeypatch.setattr(
        waiting_room.WaitingRoom, "close", lambda self, reason: None
    )
    run_until_broken("drain")


def test_alone_fails_when_the_gate_is_never_closed(monkeypatch):
    monkeypatch.setattr(
        suspect_gate.SuspectGate, "is_closed", property(lambda self: False)
    )
    run_until_broken("alone")


def test_suspects_fails_when_each_may_enter(monkeypatch):
    monkeypatch.setattr(
        suspect_gate.SuspectGate, "enter", lambda self, ticket_id: True
    )
    run_until_broken("suspects")
