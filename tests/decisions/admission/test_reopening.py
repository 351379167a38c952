"""The shed level after an overload has ended.

While an endpoint is idle no window ends, so the level of the overload stays
in place. Unless the next window drops it, the first call after the idle time
is refused because of arrivals long past.
"""

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
    """Offers four times the capacity of four slots for two seconds."""
    generator = random.Random(3)
    ends = {}
    now_s = 0.0
    for number in range(1000):
        now_s = number * STEP_S
        for ticket_id in [key for key, end in ends.items() if end <= now_s]:
            del ends[ticket_id]
            admission.finish(now_s, ticket_id, outcome.Outcome.OK)
        if generator.random() < 4 * 4 / SERVICE_S * STEP_S:
            rank = generator.randrange(3)
            call = ticket.Ticket(
                str(number), rank * 128 + number % 128, rank, now_s + 3.0
            )
            if isinstance(admission.offer(now_s, call), admitted.Admitted):
                ends[call.ticket_id] = now_s + SERVICE_S
        for ticket_id, verdict in admission.poll(now_s):
            if isinstance(verdict, admitted.Admitted):
                ends[ticket_id] = now_s + SERVICE_S
    for ticket_id in ends:
        admission.finish(now_s + SERVICE_S, ticket_id, outcome.Outcome.OK)
    return now_s + SERVICE_S


def test_admits_lowest_priority_call_after_idle_time():
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
