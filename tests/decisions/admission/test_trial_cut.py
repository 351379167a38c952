"""A trial cut of the limit must leave room for the most important class.

When the backend server becomes slow, the limit is cut on trial. If latency
times arrivals of class 0 exceeds the cut limit, calls of that class are
refused although the slots would suffice.
"""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import ticket

SLOTS = 13
NORMAL_S = 0.1
SLOW_S = 0.4
FIRST_CLASS_PER_S = 26
OTHERS_PER_S = 104
STEP_S = 0.001


class Endpoint:
    """A controller with calls of two classes, in steps of a millisecond."""

    def __init__(self):
        self.admission = controller.AdmissionController(
            admission_settings.AdmissionSettings(slots=SLOTS), random.Random(5)
        )
        self.generator = random.Random(6)
        self.now_s = 0.0
        self.ends = {}
        self.count = 0

    def run(self, seconds, service_s):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self._finish()
            self._arrive(FIRST_CLASS_PER_S, 0)
            self._arrive(OTHERS_PER_S, 1)
            for ticket_id, verdict in self.admission.poll(self.now_s):
                self._start_if_admitted(ticket_id, verdict, service_s)
            self.service_s = service_s

    def _arrive(self, per_s, rank):
        if self.generator.random() >= per_s * STEP_S:
            return
        self.count += 1
        ticket_id = f"{rank}-{self.count}"
        priority = rank * 128 + self.generator.randrange(128)
        verdict = self.admission.offer(
            self.now_s,
            ticket.Ticket(ticket_id, priority, rank, self.now_s + 3.0),
        )
        self._start_if_admitted(ticket_id, verdict, self.service_s)

    def _start_if_admitted(self, ticket_id, verdict, service_s):
        if isinstance(verdict, admitted.Admitted):
            self.ends[ticket_id] = self.now_s + service_s

    def _finish(self):
        for ticket_id in [
            ticket_id
            for ticket_id, end in self.ends.items()
            if end <= self.now_s
        ]:
            del self.ends[ticket_id]
            self.admission.finish(self.now_s, ticket_id, outcome.Outcome.OK)


def test_no_trial_cut_below_the_needs_of_first_class():
    endpoint = Endpoint()
    endpoint.service_s = NORMAL_S
    endpoint.run(5, NORMAL_S)
    for _ in range(100):
        endpoint.run(0.1, SLOW_S)
        capacity_per_s = endpoint.admission.limit / SLOW_S
        assert capacity_per_s > FIRST_CLASS_PER_S
