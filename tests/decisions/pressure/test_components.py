"""Unit tests of slots, call parents, work reports, root admission and retries.

Guards against requests that start beyond the slots, out of order or too
late; calls taken for new trees and the reverse; and trees that are refused
although they do not need the overloaded service.
"""

import random

import pytest

from cranberrymux.decisions.pressure import expected_work
from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.pressure import retry_advice
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import share_news
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import work_report

Verdict = slot_scheduler.SlotVerdict
AttemptTiming = root_admission.AttemptTiming


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
        report = {
            "a": work_report.ServiceWork(0.25, 4),
            "b": work_report.ServiceWork(0.0),
        }
        assert work_report.decode(work_report.encode(report)) == report

    def test_add_sums_work(self):
        report = {"a": work_report.ServiceWork(0.25, 2)}
        other = work_report.ServiceWork(0.5)
        work_report.add(report, {"a": other, "b": other})
        assert report == {"a": work_report.ServiceWork(0.75, 3), "b": other}

    @pytest.mark.parametrize(
        "text", [b"", b"a", b"a=", b"a=1", b"a=1/x", b"=/", b",,"]
    )
    def test_decode_skips_invalid_parts(self, text):
        assert work_report.decode(text) == {}


class TestExpectedWork:
    def test_decode_inverts_encode(self):
        expected = {
            "a": expected_work.ExpectedWork(0.25, 0.125),
            "b": expected_work.ExpectedWork(0.0, 1.0, True),
        }
        encoded = expected_work.encode(expected)
        assert expected_work.decode(encoded) == expected

    @pytest.mark.parametrize(
        "text", [b"", b"a", b"a=1/2", b"a=1/2/x", b"a=1/2/-1", b"a=//", b",,"]
    )
    def test_decode_skips_invalid_parts(self, text):
        assert expected_work.decode(text) == {}


class TestShareNews:
    def test_decode_inverts_encode(self):
        news = {
            "a": share_news.ShareNews(0.125, 0.25),
            "b": share_news.ShareNews(1.0, 0.0),
        }
        assert share_news.decode(share_news.encode(news)) == news

    @pytest.mark.parametrize(
        "text", [b"", b"a", b"a=1", b"a=1/x", b"a=1/-2", b"a=/", b",,"]
    )
    def test_decode_skips_invalid_parts(self, text):
        assert share_news.decode(text) == {}

    def test_decode_bounds_the_share(self):
        assert share_news.decode(b"a=5000/0")["a"].share == 1.0


class TestRootAdmission:
    def test_refuses_only_routes_that_need_the_overloaded_service(self):
        admission = root_admission.RootAdmission(0.0)
        lookup = root_admission.TrafficClass(2, AttemptTiming.FIRST, "lookup")
        upload = root_admission.TrafficClass(2, AttemptTiming.FIRST, "upload")
        report = {"deep": work_report.ServiceWork(0.2)}
        admitted = dict.fromkeys((lookup, upload), 0)
        for number in range(400):
            now_s = number / 100
            admission.note_report("lookup", report, True)
            admission.note_share(now_s, "deep", 0.4)
            for traffic_class in admitted:
                admitted[traffic_class] += admission.offer(now_s, traffic_class)
        assert admitted[upload] == 400
        assert 120 < admitted[lookup] < 220

    def test_admits_everything_again_without_reports(self):
        admission = root_admission.RootAdmission(0.0)
        traffic_class = root_admission.TrafficClass(
            2, AttemptTiming.FIRST, "lookup"
        )
        report = {"deep": work_report.ServiceWork(0.2)}
        for number in range(100):
            admission.note_report("lookup", report, True)
            admission.note_share(number / 100, "deep", 0.1)
            admission.offer(number / 100, traffic_class)
        assert admission.get_admitted_share(traffic_class) < 0.3
        for number in range(100, 600):
            admission.offer(number / 100, traffic_class)
        assert admission.get_admitted_share(traffic_class) == 1.0


class TestNewsOfShares:
    """Nodes that tell each other which services are short of capacity."""

    def make(self, share=None, now_s=10.0):
        admission = root_admission.RootAdmission(0.0)
        if share is not None:
            for number in range(20):
                reported_s = now_s - 0.2 + number / 100
                admission.note_share(reported_s, "deep", share)
        return admission

    def test_node_without_answers_learns_from_another(self):
        informed = self.make(0.2)
        other = self.make()
        other.note_news(10.0, informed.get_news(10.0))
        assert other.get_service_share("deep") == pytest.approx(0.2, abs=0.1)

    def test_older_news_changes_nothing(self):
        informed = self.make(0.2, now_s=9.7)
        other = self.make(0.8)
        before = other.get_service_share("deep")
        other.note_news(10.0, informed.get_news(10.0))
        assert other.get_service_share("deep") == before

    def test_news_that_goes_around_is_not_taken_twice(self):
        first, second = self.make(0.2), self.make()
        for number in range(5):
            now_s = 10.0 + number / 100
            second.note_news(now_s, first.get_news(now_s))
            first.note_news(now_s, second.get_news(now_s))
        share = second.get_service_share("deep")
        for number in range(50):
            now_s = 10.1 + number / 100
            second.note_news(now_s, first.get_news(now_s))
            first.note_news(now_s, second.get_news(now_s))
        assert second.get_service_share("deep") == pytest.approx(
            share, abs=0.01
        )

    def test_service_with_room_is_no_news(self):
        assert self.make(1.0).get_news(10.0) == {}

    def test_recovery_is_news_for_some_time(self):
        informed, other = self.make(0.2), self.make(0.2)
        for number in range(100):
            informed.note_share(10.0 + number / 100, "deep", 1.0)
        other.note_news(11.0, informed.get_news(11.0))
        assert other.get_service_share("deep") > 0.95

    def test_news_expires(self):
        assert self.make(0.2).get_news(11.0) == {}

    def test_mean_follows_many_endpoints_that_differ(self):
        """Guards against a share of the endpoint that answered last."""
        admission = self.make()
        shares = []
        for number in range(400):
            share = 0.1 if number % 2 else 0.9
            admission.note_share(10.0 + number / 200, "deep", share)
            shares.append(admission.get_service_share("deep"))
        assert min(shares[100:]) > 0.4
        assert max(shares[100:]) < 0.6


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


def test_first_successful_tree_gives_the_cost_of_its_route():
    """Guards against the low costs of trees that failed before it."""
    admission = root_admission.RootAdmission(0.0)
    admission.note_share(0.0, "deep", 0.5)
    for _ in range(20):
        failed = {"deep": work_report.ServiceWork(0.01, 1)}
        admission.note_report("lookup", failed, False)
    complete = {"deep": work_report.ServiceWork(0.24, 8)}
    admission.note_report("lookup", complete, True)
    assert admission.expect_work("lookup")["deep"].requests == 8


def test_longest_failed_tree_gives_the_cost_until_one_succeeds():
    admission = root_admission.RootAdmission(0.0)
    admission.note_share(0.0, "deep", 0.5)
    for requests in (1, 5, 2):
        failed = {"deep": work_report.ServiceWork(0.03 * requests, requests)}
        admission.note_report("lookup", failed, False)
    assert admission.expect_work("lookup")["deep"].requests == 5


class TestShareMeter:
    SLOTS = 10

    def measure(self, calls, share=0.5, requests=8, count=400):
        """Returns the share for 25 trees a second of 0.4 s at 10 slots.

        Args:
            calls: Number of the calls that each tree makes before it ends.
            share: Share of the offered work that was admitted.
            requests: Expected calls of a tree; 0.0 if that is not known.
            count: Number of trees.
        """
        meter = share_meter.ShareMeter(0.0)
        for number in range(count):
            meter.note_hold("lookup", 0.05)
            for call in range(calls):
                expected = expected_work.ExpectedWork(
                    requests, share, is_counted=bool(call and requests)
                )
                meter.note_arrival("lookup", expected)
            meter.roll(number / 25, self.SLOTS, 0.0)
        return meter.share

    def test_trees_that_end_early_count_like_those_that_end(self):
        """Guards against a share that rises because trees fail.

        Half of the offered trees need all slots, so 0.95 of the half fits.
        """
        whole = self.measure(calls=8)
        assert whole == pytest.approx(0.475, rel=0.1)
        assert self.measure(calls=1) == pytest.approx(whole)

    def test_work_of_the_requests_counts_where_that_of_trees_is_not_known(self):
        assert self.measure(calls=8, requests=0.0) == pytest.approx(
            0.475, rel=0.1
        )

    def test_later_requests_of_a_tree_that_was_counted_add_no_work(self):
        meter = share_meter.ShareMeter(0.0)
        meter.note_hold("lookup", 0.05)
        later = expected_work.ExpectedWork(8, 0.5, is_counted=True)
        for _ in range(100):
            meter.note_arrival("lookup", later)
        meter.roll(1.0, self.SLOTS, 0.0)
        assert meter.utilization == 0.0


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
    traffic_class = root_admission.TrafficClass(
        2, AttemptTiming.FIRST, "lookup"
    )
    report = {"deep": work_report.ServiceWork(0.1)}
    for number in range(200):
        admission.note_report("lookup", report, False)
        admission.note_share(number / 100, "deep", 0.1)
        admission.offer(number / 100, traffic_class)
    assert admission.get_admitted_share(traffic_class) < 0.3


def test_early_failure_does_not_lower_cost_of_route():
    admission = root_admission.RootAdmission(0.0)
    traffic_classes = [
        root_admission.TrafficClass(2, AttemptTiming.FIRST, name)
        for name in ("a", "b")
    ]
    for number in range(400):
        now_s = number / 100
        for route in ("a", "b"):
            complete = {"deep": work_report.ServiceWork(0.2)}
            admission.note_report(route, complete, True)
            admission.note_share(now_s, "deep", 0.5)
        failed = {"deep": work_report.ServiceWork(0.01)}
        admission.note_report("a", failed, False)
        for traffic_class in traffic_classes:
            admission.offer(now_s, traffic_class)
    assert admission.get_admitted_share(
        traffic_classes[0]
    ) == admission.get_admitted_share(traffic_classes[1])
