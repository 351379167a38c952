"""Which classes a node holds back, in one line a second at most."""

import random

from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import class_log

SHARE = 0.2
COST_S = 0.24
PER_S = 100
_FIRST = traffic_class_module.AttemptTiming.FIRST
URGENT = traffic_class_module.TrafficClass(0, _FIRST, "urgent")
LATER = traffic_class_module.TrafficClass(2, _FIRST, "later")


class Events:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


def offer_beyond_capacity(length_s):
    """Returns the lines of a node whose trees need five times what fits."""
    admission = root_admission.RootAdmission(0.0, random.Random(1))
    events = Events()
    log = class_log.ClassLog(admission, events)
    for step in range(int(length_s * PER_S)):
        now_s = step / PER_S
        for traffic_class in (URGENT, LATER):
            if not admission.admit(now_s, traffic_class):
                log.note_refusal(now_s)
                continue
            report = {"deep": work_report.ServiceWork(COST_S, SHARE)}
            admission.note_report(now_s, traffic_class.route, report, True)
    return events.lines


def test_names_each_class_with_its_rate_and_share():
    event, fields = offer_beyond_capacity(3.0)[-1]
    assert event == "classes-held-back"
    assert fields["shares"] == {"deep": SHARE}
    assert fields["count"] == 2
    later, urgent = fields["classes"]
    assert (later["route"], urgent["route"]) == ("later", "urgent")
    assert (urgent["priority"], urgent["timing"]) == (0, "first")
    assert 0.6 * PER_S < urgent["per_s"] < 1.1 * PER_S
    assert later["share"] < SHARE < urgent["share"] < 1.0


def test_writes_a_line_a_second_at_most():
    assert 3 <= len(offer_beyond_capacity(4.0)) <= 4


def test_writes_nothing_while_all_may_start():
    admission = root_admission.RootAdmission(0.0, random.Random(1))
    assert admission.admit(1.0, URGENT)
    assert not admission.list_held_back()
