"""The parts of admission, each alone."""

import random

import pytest

from cranberrymux.decisions.pressure import gate as gate_module
from cranberrymux.decisions.pressure import lineage as lineage_module
from cranberrymux.decisions.pressure import return_advice
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import work_report

Verdict = gate_module.GateVerdict
Turn = root_admission.Turn


def ticket(number, rank=1.0, start_by_s=1.0, deadline_s=2.0):
    return gate_module.Ticket(number, rank, start_by_s, deadline_s)


class TestGate:
    def test_starts_no_more_than_the_slots(self):
        gate = gate_module.Gate(2)
        verdicts = [gate.offer(0.0, ticket(number)) for number in range(3)]
        assert verdicts == [Verdict.START, Verdict.START, Verdict.WAIT]
        gate.finish(0.1, 0, True)
        assert gate.pop(0.1) == [2]

    def test_starts_the_most_important_first_then_the_earliest_deadline(self):
        gate = gate_module.Gate(2)
        for number in (0, 1):
            gate.offer(0.0, ticket(number))
        gate.offer(0.0, ticket(2, rank=2.0, deadline_s=1.0))
        gate.offer(0.0, ticket(3, rank=0.5, deadline_s=9.0))
        gate.offer(0.0, ticket(4, rank=0.5, deadline_s=5.0))
        started = []
        for number in (0, 1, 4):
            gate.finish(0.1, number, True)
            started += gate.pop(0.1)
        assert started == [4, 3, 2]

    def test_a_full_queue_gives_way_to_what_is_more_important(self):
        """Many calls of unimportant trees fill the queue first."""
        gate = gate_module.Gate(2)
        places = int(2 * gate_module.QUEUE_PER_SLOT)
        for number in range(2 + places):
            assert gate.offer(0.0, ticket(number, rank=2.0)) is not Verdict.FULL
        assert gate.offer(0.0, ticket(90, rank=2.0)) is Verdict.FULL
        assert gate.offer(0.0, ticket(91, rank=0.5)) is Verdict.WAIT
        (given_up,) = gate.take_given_up()
        assert 2 <= given_up < 2 + places
        assert gate.take_given_up() == []
        assert gate.waiting == places

    def test_refuses_what_cannot_start_in_time(self):
        gate = gate_module.Gate(1)
        gate.offer(0.0, ticket(0))
        gate.finish(1.0, 0, True)  # A second for each request.
        gate.offer(1.0, ticket(1, start_by_s=9.0, deadline_s=9.0))
        late = ticket(2, start_by_s=1.5, deadline_s=9.0)
        assert gate.offer(1.0, late) is Verdict.FULL

    def test_tells_which_waited_too_long(self):
        gate = gate_module.Gate(1)
        gate.offer(0.0, ticket(0))
        gate.offer(0.0, ticket(1, start_by_s=0.5))
        assert gate.expire(0.4) == []
        assert gate.expire(0.6) == [1]
        gate.finish(0.7, 0, True)
        assert gate.pop(0.7) == []

    def test_a_caller_that_left_frees_its_place(self):
        gate = gate_module.Gate(1)
        gate.offer(0.0, ticket(0))
        gate.offer(0.0, ticket(1))
        assert gate.leave(1)
        gate.finish(0.1, 0, False)
        assert gate.pop(0.1) == []


class TestLineage:
    def test_a_call_is_known_by_an_id_that_extends_its_parents(self):
        lineage = lineage_module.Lineage()
        lineage.begin(1, b"a", 10.5)
        lineage.begin(2, b"a.b", 10.5)
        assert lineage.trace("call", b"a.b.c", 3.0) == (True, 2)
        lineage.end(2)
        assert lineage.trace("call", b"a.b.c", 3.0) == (False, None)

    def test_a_call_belongs_to_the_request_with_its_deadline(self):
        lineage = lineage_module.Lineage()
        lineage.begin(1, b"a", 10.500)
        lineage.begin(2, b"b", 10.600)
        assert lineage.trace("call", b"x", 10.599) == (True, 2)
        assert lineage.trace("call", b"y", 10.500) == (True, 1)
        lineage.end(2)
        # Now it is called, though nobody knows by whom.
        assert lineage.trace("call", b"z", 10.599) == (True, None)

    def test_a_route_is_called_if_some_calls_have_shorter_deadlines(self):
        lineage = lineage_module.Lineage()
        lineage.begin(1, b"a", 10.5)
        for _ in range(100):
            for deadline_s in (10.2, 10.2, 10.5):
                found = lineage.trace("call", b"x", deadline_s)
        assert found == (True, 1)

    def test_chance_matches_of_a_route_that_begins_here_do_not_count(self):
        lineage = lineage_module.Lineage()
        generator = random.Random(1)
        for number in range(90):
            lineage.begin(number, b"%d" % number, generator.uniform(10, 11))
        calls = [
            lineage.trace("root", b"x", generator.uniform(10, 11)).is_call
            for _ in range(2000)
        ]
        assert sum(calls) < 0.1 * len(calls)


class TestWorkReport:
    def test_text_holds_everything(self):
        report = {"a": work_report.ServiceWork(0.25, 0.125)}
        assert work_report.decode(work_report.encode(report)) == report

    def test_adds_the_work_of_calls(self):
        report = {"a": work_report.ServiceWork(0.2, 0.5)}
        work_report.add(report, {"a": work_report.ServiceWork(0.1, 0.3)})
        assert report["a"].slot_s == pytest.approx(0.3)
        assert report["a"].share == pytest.approx(0.433, abs=0.01)

    @pytest.mark.parametrize("text", [b"", b"a", b"a=", b"a=1/x", b"=/", b",,"])
    def test_leaves_out_what_cannot_be_read(self, text):
        assert work_report.decode(text) == {}


class TestRootAdmission:
    def test_refuses_only_what_needs_the_short_service(self):
        admission = root_admission.RootAdmission(0.0)
        lookup = root_admission.Kind(2, Turn.FIRST, "lookup")
        upload = root_admission.Kind(2, Turn.FIRST, "upload")
        report = {"deep": work_report.ServiceWork(0.2, 0.4)}
        let_in = dict.fromkeys((lookup, upload), 0)
        for number in range(400):
            now_s = number / 100
            admission.note_report(now_s, "lookup", report, True)
            for kind in let_in:
                let_in[kind] += admission.offer(now_s, kind)
        assert let_in[upload] == 400
        assert 120 < let_in[lookup] < 220

    def test_opens_again_without_news(self):
        admission = root_admission.RootAdmission(0.0)
        kind = root_admission.Kind(2, Turn.FIRST, "lookup")
        report = {"deep": work_report.ServiceWork(0.2, 0.1)}
        for number in range(100):
            admission.note_report(number / 100, "lookup", report, True)
            admission.offer(number / 100, kind)
        assert admission.share_of(kind) < 0.3
        for number in range(100, 600):
            admission.offer(number / 100, kind)
        assert admission.share_of(kind) == 1.0


class TestReturnAdvice:
    def test_tells_who_came_back_by_the_time_they_have(self):
        advice = return_advice.ReturnAdvice(1.5)
        for left_s in (5.0, 4.999, 4.2, 5.0, 3.0, 5.0, 4.1):
            advice.note_arrival(left_s)
        assert advice.turn_of(4.99) is Turn.FIRST
        assert advice.turn_of(4.2) is Turn.RETURNED_IN_TIME
        assert advice.turn_of(3.0) is Turn.RETURNED_LATE

    def test_asks_back_while_an_answer_still_has_its_full_worth(self):
        advice = return_advice.ReturnAdvice(1.5)
        advice.note_arrival(5.0)
        advice.note_latency(0.5)
        generator = random.Random(1)
        waits = [advice.wait_s(5.0, generator) for _ in range(100)]
        assert max(waits) <= 1.0
        assert max(waits) - min(waits) > 0.5


def test_sheds_a_route_that_has_never_ended_well():
    """All nodes have just started, and no tree gets through."""
    admission = root_admission.RootAdmission(0.0)
    kind = root_admission.Kind(2, Turn.FIRST, "lookup")
    report = {"deep": work_report.ServiceWork(0.1, 0.1)}
    for number in range(200):
        admission.note_report(number / 100, "lookup", report, False)
        admission.offer(number / 100, kind)
    assert admission.share_of(kind) < 0.3


def test_a_tree_that_failed_early_does_not_make_its_route_cheap():
    admission = root_admission.RootAdmission(0.0)
    kinds = [root_admission.Kind(2, Turn.FIRST, name) for name in ("a", "b")]
    for number in range(400):
        now_s = number / 100
        for route in ("a", "b"):
            whole = {"deep": work_report.ServiceWork(0.2, 0.5)}
            admission.note_report(now_s, route, whole, True)
        failed = {"deep": work_report.ServiceWork(0.01, 0.5)}
        admission.note_report(now_s, "a", failed, False)
        for kind in kinds:
            admission.offer(now_s, kind)
    assert admission.share_of(kinds[0]) == admission.share_of(kinds[1])
