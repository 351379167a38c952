"""Unit tests of slots, call parents, work reports, root admission and retries.

Guards against requests that start beyond the slots, out of order or too
late; calls taken for new trees and the reverse; and trees that are refused
although they do not need the overloaded service.
"""

import random

import pytest

from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.pressure import retry_advice
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report

Verdict = slot_scheduler.SlotVerdict
AttemptTiming = traffic_class_module.AttemptTiming


def make_ticket(number, rank=1.0, start_by_s=1.0, deadline_s=2.0):
    return slot_scheduler.Ticket(number, rank, start_by_s, deadline_s)


class TestSlotScheduler:
    def test_starts_no_more_requests_than_slots(self):
        scheduler = slot_scheduler.SlotScheduler(2)
        verdicts = [
            scheduler.offer(0.0, make_ticket(number)) for number in range(3)
        ]
        assert verdicts == [Verdict.START, Verdict.START, Verdict.WAIT]
        scheduler.finish(0.1, 0, True)
        assert scheduler.start_waiting(0.1) == [2]

    def test_starts_lowest_rank_first_then_earliest_deadline(self):
        scheduler = slot_scheduler.SlotScheduler(2)
        for number in (0, 1):
            scheduler.offer(0.0, make_ticket(number))
        scheduler.offer(0.0, make_ticket(2, rank=2.0, deadline_s=1.0))
        scheduler.offer(0.0, make_ticket(3, rank=0.5, deadline_s=9.0))
        scheduler.offer(0.0, make_ticket(4, rank=0.5, deadline_s=5.0))
        started = []
        for number in (0, 1, 4):
            scheduler.finish(0.1, number, True)
            started += scheduler.start_waiting(0.1)
        assert started == [4, 3, 2]

    def test_full_queue_evicts_request_of_higher_rank(self):
        """Fills the queue with calls of less important trees first."""
        scheduler = slot_scheduler.SlotScheduler(2)
        queue_length = int(2 * slot_scheduler.QUEUE_PER_SLOT)
        for number in range(2 + queue_length):
            assert (
                scheduler.offer(0.0, make_ticket(number, rank=2.0))
                is not Verdict.FULL
            )
        assert scheduler.offer(0.0, make_ticket(90, rank=2.0)) is Verdict.FULL
        assert scheduler.offer(0.0, make_ticket(91, rank=0.5)) is Verdict.WAIT
        (evicted,) = scheduler.pop_evicted()
        assert 2 <= evicted < 2 + queue_length
        assert scheduler.pop_evicted() == []
        assert scheduler.waiting == queue_length

    def test_refuses_request_that_cannot_start_in_time(self):
        scheduler = slot_scheduler.SlotScheduler(1)
        scheduler.offer(0.0, make_ticket(0))
        scheduler.finish(1.0, 0, True)  # The mean hold time is one second.
        scheduler.offer(1.0, make_ticket(1, start_by_s=9.0, deadline_s=9.0))
        late = make_ticket(2, start_by_s=1.5, deadline_s=9.0)
        assert scheduler.offer(1.0, late) is Verdict.FULL

    def test_pop_expired_returns_requests_past_their_latest_start(self):
        scheduler = slot_scheduler.SlotScheduler(1)
        scheduler.offer(0.0, make_ticket(0))
        scheduler.offer(0.0, make_ticket(1, start_by_s=0.5))
        assert scheduler.pop_expired(0.4) == []
        assert scheduler.pop_expired(0.6) == [1]
        scheduler.finish(0.7, 0, True)
        assert scheduler.start_waiting(0.7) == []

    def test_cancelled_request_never_starts(self):
        scheduler = slot_scheduler.SlotScheduler(1)
        scheduler.offer(0.0, make_ticket(0))
        scheduler.offer(0.0, make_ticket(1))
        assert scheduler.cancel(1)
        scheduler.finish(0.1, 0, False)
        assert scheduler.start_waiting(0.1) == []


class TestParentMatcher:
    def test_id_that_extends_a_running_id_names_the_parent(self):
        matcher = parent_matcher.ParentMatcher()
        matcher.add(1, b"a", 10.5)
        matcher.add(2, b"a.b", 10.5)
        assert matcher.match("call", b"a.b.c", 3.0) == (True, 2)
        matcher.remove(2)
        assert matcher.match("call", b"a.b.c", 3.0) == (False, None)

    def test_equal_deadline_names_the_parent(self):
        matcher = parent_matcher.ParentMatcher()
        matcher.add(1, b"a", 10.500)
        matcher.add(2, b"b", 10.600)
        assert matcher.match("call", b"x", 10.599) == (True, 2)
        assert matcher.match("call", b"y", 10.500) == (True, 1)
        matcher.remove(2)
        # The route is still taken for called, by an unknown parent.
        assert matcher.match("call", b"z", 10.599) == (True, None)

    def test_finds_parent_although_most_calls_have_shorter_deadlines(self):
        matcher = parent_matcher.ParentMatcher()
        matcher.add(1, b"a", 10.5)
        for _ in range(100):
            for deadline_s in (10.2, 10.2, 10.5):
                found = matcher.match("call", b"x", deadline_s)
        assert found == (True, 1)

    def test_chance_matches_do_not_make_roots_calls(self):
        matcher = parent_matcher.ParentMatcher()
        generator = random.Random(1)
        for number in range(90):
            matcher.add(number, b"%d" % number, generator.uniform(10, 11))
        are_calls = [
            matcher.match("root", b"x", generator.uniform(10, 11)).is_call
            for _ in range(2000)
        ]
        assert sum(are_calls) < 0.1 * len(are_calls)


class TestWorkReport:
    def test_decode_inverts_encode(self):
        report = {"a": work_report.ServiceWork(0.25, 0.125)}
        assert work_report.decode(work_report.encode(report)) == report

    def test_add_sums_work_and_averages_share(self):
        report = {"a": work_report.ServiceWork(0.2, 0.5)}
        work_report.add(report, {"a": work_report.ServiceWork(0.1, 0.3)})
        assert report["a"].slot_s == pytest.approx(0.3)
        assert report["a"].share == pytest.approx(0.433, abs=0.01)

    @pytest.mark.parametrize("text", [b"", b"a", b"a=", b"a=1/x", b"=/", b",,"])
    def test_decode_skips_invalid_parts(self, text):
        assert work_report.decode(text) == {}


class TestRootAdmission:
    def test_refuses_only_routes_that_need_the_overloaded_service(self):
        admission = root_admission.RootAdmission(0.0)
        lookup = traffic_class_module.TrafficClass(
            2, AttemptTiming.FIRST, "lookup"
        )
        upload = traffic_class_module.TrafficClass(
            2, AttemptTiming.FIRST, "upload"
        )
        report = {"deep": work_report.ServiceWork(0.2, 0.4)}
        admitted = dict.fromkeys((lookup, upload), 0)
        for number in range(400):
            now_s = number / 100
            admission.note_report(now_s, "lookup", report, True)
            for traffic_class in admitted:
                if admission.admit(now_s, traffic_class):
                    admitted[traffic_class] += 1
        assert admitted[upload] == 400
        assert 120 < admitted[lookup] < 220

    def test_admits_everything_again_without_reports(self):
        admission = root_admission.RootAdmission(0.0)
        traffic_class = traffic_class_module.TrafficClass(
            2, AttemptTiming.FIRST, "lookup"
        )
        report = {"deep": work_report.ServiceWork(0.2, 0.1)}
        for number in range(100):
            admission.note_report(number / 100, "lookup", report, True)
            admission.admit(number / 100, traffic_class)
        assert admission.get_admitted_share(traffic_class) < 0.3
        for number in range(100, 600):
            admission.admit(number / 100, traffic_class)
        assert admission.get_admitted_share(traffic_class) == 1.0


class TestRetryAdvice:
    def test_recognizes_retries_by_the_time_left(self):
        advice = retry_advice.RetryAdvice(1.5)
        for left_s in (5.0, 4.999, 4.2, 5.0, 3.0, 5.0, 4.1):
            advice.note_arrival(left_s)
        assert advice.classify_attempt(4.99) is AttemptTiming.FIRST
        assert advice.classify_attempt(4.2) is AttemptTiming.RETRY_IN_TIME
        assert advice.classify_attempt(3.0) is AttemptTiming.RETRY_LATE

    def test_retry_delays_are_spread_and_keep_full_value(self):
        advice = retry_advice.RetryAdvice(1.5)
        advice.note_arrival(5.0)
        advice.note_latency(0.5)
        generator = random.Random(1)
        waits = [advice.draw_delay_s(5.0, generator) for _ in range(100)]
        assert max(waits) <= 1.0
        assert max(waits) - min(waits) > 0.5


class TestOrderOfTrees:
    def test_request_of_an_old_tree_is_not_refused_for_those_behind_it(self):
        """Guards against trees that fail near their end in a long queue."""
        scheduler = slot_scheduler.SlotScheduler(1)
        scheduler.offer(0.0, slot_scheduler.Ticket(0, 1.0, 1.0, 1.0))
        scheduler.finish(0.1, 0, True)
        scheduler.offer(0.1, slot_scheduler.Ticket(1, 1.0, 1.0, 1.0))
        scheduler.offer(0.1, slot_scheduler.Ticket(2, 1.0, 1.0, 2.0))
        old = slot_scheduler.Ticket(3, 1.0, 0.25, 0.5)
        assert scheduler.offer(0.1, old) is slot_scheduler.SlotVerdict.WAIT
        scheduler.finish(0.2, 1, True)
        assert scheduler.start_waiting(0.2) == [3]

    def test_full_queue_evicts_the_newest_tree_of_equal_rank(self):
        scheduler = slot_scheduler.SlotScheduler(2)
        for number in range(2):
            scheduler.offer(0.0, slot_scheduler.Ticket(number, 1.0, 9.0, 9.0))
        for number in range(2, 5):
            deadline_s = 9.0 + number / 10
            scheduler.offer(
                0.0, slot_scheduler.Ticket(number, 1.0, 9.0, deadline_s)
            )
        old = slot_scheduler.Ticket(9, 1.0, 9.0, 5.0)
        assert scheduler.offer(0.0, old) is slot_scheduler.SlotVerdict.WAIT
        assert scheduler.pop_evicted() == [4]
        new = slot_scheduler.Ticket(10, 1.0, 9.0, 10.0)
        assert scheduler.offer(0.0, new) is slot_scheduler.SlotVerdict.FULL


def test_refuses_route_without_any_successful_tree():
    """Models nodes that have just started while no tree succeeds."""
    admission = root_admission.RootAdmission(0.0)
    traffic_class = traffic_class_module.TrafficClass(
        2, AttemptTiming.FIRST, "lookup"
    )
    report = {"deep": work_report.ServiceWork(0.1, 0.1)}
    for number in range(200):
        admission.note_report(number / 100, "lookup", report, False)
        admission.admit(number / 100, traffic_class)
    assert admission.get_admitted_share(traffic_class) < 0.3


def test_early_failure_does_not_lower_cost_of_route():
    admission = root_admission.RootAdmission(0.0)
    traffic_classes = [
        traffic_class_module.TrafficClass(2, AttemptTiming.FIRST, name)
        for name in ("a", "b")
    ]
    for number in range(400):
        now_s = number / 100
        for route in ("a", "b"):
            complete = {"deep": work_report.ServiceWork(0.2, 0.5)}
            admission.note_report(now_s, route, complete, True)
        failed = {"deep": work_report.ServiceWork(0.01, 0.5)}
        admission.note_report(now_s, "a", failed, False)
        for traffic_class in traffic_classes:
            admission.admit(now_s, traffic_class)
    assert admission.get_admitted_share(
        traffic_classes[0]
    ) == admission.get_admitted_share(traffic_classes[1])
