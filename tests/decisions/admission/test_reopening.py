"""The level after an overload has ended."""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import ticket

STEP_S = 0.002
SERVICE_S = 0.1
IDLE_S = 2.0


def _overload(admission):
    """Four times the capacity of four slots for two seconds."""
    generator = random.Random(3)
    ends = {}
    now_s = 0.0
    for number in range(1000):
        now_s = number * STEP_S
        for ticket_id in [one for one, end in ends.items() if end <= now_s]:
            del ends[ticket_id]
            admission.finish(now_s, ticket_id, outcome.Outcome.OK)
        if generator.random() < 4 * 4 / SERVICE_S * STEP_S:
            rank = generator.randrange(3)
            one = ticket.Ticket(
                str(number), rank * 128 + number % 128, rank, now_s + 3.0
            )
            if isinstance(admission.offer(now_s, one), admitted.Admitted):
                ends[one.ticket_id] = now_s + SERVICE_S
        for ticket_id, verdict in admission.poll(now_s):
            if isinstance(verdict, admitted.Admitted):
                ends[ticket_id] = now_s + SERVICE_S
    for ticket_id in ends:
        admission.finish(now_s + SERVICE_S, ticket_id, outcome.Outcome.OK)
    return now_s + SERVICE_S


def test_first_call_after_an_idle_time_is_refused_by_nothing_past():
    admission = controller.AdmissionController(
        admission_settings.AdmissionSettings(slots=4), random.Random(1)
    )
    now_s = _overload(admission)
    assert admission.level < 3 * 128
    admission.poll(now_s)
    now_s += IDLE_S
    lowest = ticket.Ticket("lowest", 383, 2, now_s + 3.0)
    assert isinstance(admission.offer(now_s, lowest), admitted.Admitted)
    assert admission.level > lowest.priority
