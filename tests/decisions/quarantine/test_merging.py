"""Reports on suspects that arrive late, twice and in any order.

Guards against nodes that count one death twice, or forget one, because of the
way that reports took (issue 23).
"""

import math
import random

import hypothesis
from hypothesis import strategies

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_record
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import refusal
from tests import profiles

CALL = fingerprint.Fingerprint("", "", "d")
KIND = report_kind.ReportKind
SETTINGS = quarantine_settings.QuarantineSettings()


def make_quarantine(name="a"):
    return quarantine.Quarantine(SETTINGS, name, 1)


def make_report(kind, event_id):
    return suspect_report.SuspectReport(CALL.digest_key, kind, event_id)


def is_refused(node_quarantine, now_s=1.0):
    verdict = node_quarantine.classify(now_s, CALL)
    return isinstance(verdict, refusal.Refusal)


reports = strategies.lists(
    strategies.builds(
        make_report,
        strategies.sampled_from(list(KIND)),
        strategies.sampled_from(["e1", "e2", "e3", "e4", "trial-0"]),
    ),
    max_size=30,
)


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=200)
@hypothesis.given(reports, strategies.randoms(use_true_random=False))
def test_all_nodes_come_to_the_same_verdict(told, generator):
    first, second = make_quarantine("a"), make_quarantine("b")
    first.merge(1.0, told)
    shuffled = told * 2
    generator.shuffle(shuffled)
    for one in shuffled:
        second.merge(1.0, [one])
    assert first.get_reports(1.0, CALL.digest_key) == second.get_reports(
        1.0, CALL.digest_key
    )
    assert is_refused(first) == is_refused(second)


def test_only_reports_that_are_new_are_returned():
    node_quarantine = make_quarantine()
    death = make_report(KIND.DEATH, "e1")
    assert node_quarantine.merge(1.0, [death]) == [death]
    assert node_quarantine.merge(2.0, [death]) == []


def test_trials_are_named_alike_and_used_up():
    first, second = make_quarantine("a"), make_quarantine("b")
    deaths = [make_report(KIND.DEATH, f"e{number}") for number in range(3)]
    for one in (first, second):
        one.merge(1.0, deaths)
        assert one.get_trial_wait_s(1.0, CALL) == 0.0
    trial = first.make_trial(1.0, CALL)
    assert trial == second.make_trial(1.0, CALL)
    second.merge(1.0, [trial])
    assert second.make_trial(1.0, CALL) != trial
    delay_s = SETTINGS.fatal_trial_delay_s
    assert second.get_trial_wait_s(1.0, CALL) == delay_s
    second.merge(40.0, [second.make_trial(40.0, CALL)])
    assert second.get_trial_wait_s(500.0, CALL) == math.inf


def test_sole_suspect_waits_for_its_first_trial():
    node_quarantine = make_quarantine()
    node_quarantine.merge(
        1.0,
        [
            make_report(KIND.DEATH, "e1"),
            make_report(KIND.DEATH, "e2"),
            make_report(KIND.SOLE_DEATH, "e2"),
        ],
    )
    assert is_refused(node_quarantine)
    delay_s = SETTINGS.first_trial_delay_s
    assert node_quarantine.get_trial_wait_s(1.0, CALL) == delay_s
    assert node_quarantine.get_trial_wait_s(1.0 + delay_s, CALL) == 0.0


def test_trial_without_an_outcome_is_followed_by_others():
    node_quarantine = make_quarantine()
    deaths = [make_report(KIND.DEATH, f"e{number}") for number in range(3)]
    node_quarantine.merge(0.0, deaths)
    now_s = 0.0
    for _ in range(20):
        now_s += node_quarantine.get_trial_wait_s(now_s, CALL)
        trial = node_quarantine.make_trial(now_s, CALL)
        node_quarantine.merge(now_s, [trial])
        assert node_quarantine.end_trial(now_s, trial)
        wait_s = node_quarantine.get_trial_wait_s(now_s, CALL)
        assert 0 < wait_s <= SETTINGS.maximum_trial_delay_s
    assert is_refused(node_quarantine, now_s)


def test_fatal_trial_leaves_one_more_however_others_ended():
    node_quarantine = make_quarantine()
    deaths = [make_report(KIND.DEATH, f"e{number}") for number in range(3)]
    node_quarantine.merge(0.0, deaths)
    now_s, fatal, trials = 0.0, 0, 0
    while now_s < math.inf:
        trial = node_quarantine.make_trial(now_s, CALL)
        node_quarantine.merge(now_s, [trial])
        trials += 1
        if trials % 3 == 0:  # It times out and crashes nothing.
            node_quarantine.end_trial(now_s, trial)
        else:
            fatal += 1
            node_quarantine.merge(now_s, [make_report(KIND.DEATH, f"f{fatal}")])
        now_s += node_quarantine.get_trial_wait_s(now_s, CALL)
    assert fatal == SETTINGS.maximum_fatal_trials
    assert trials <= 3


def test_clean_trial_gives_a_call_its_trials_back():
    node_quarantine = make_quarantine()
    deaths = [make_report(KIND.DEATH, f"e{number}") for number in range(3)]
    trial = make_report(KIND.TRIAL, "trial-0")
    node_quarantine.merge(1.0, [*deaths, trial])
    node_quarantine.start("t", CALL, is_suspect=True)
    node_quarantine.finish(2.0, "t", is_clean=True)
    assert node_quarantine.classify(2.0, CALL) is isolation.Isolation.CLEAR
    later = [make_report(KIND.DEATH, f"f{number}") for number in range(3)]
    node_quarantine.merge(3.0, later)
    assert is_refused(node_quarantine, 3.0)
    assert node_quarantine.get_trial_wait_s(3.0, CALL) == 0.0
    assert node_quarantine.make_trial(3.0, CALL).event_id == "trial-1"


def test_record_of_a_call_that_still_comes_does_not_age():
    node_quarantine = make_quarantine()
    node_quarantine.merge(
        0.0, [make_report(KIND.DEATH, f"e{number}") for number in range(3)]
    )
    now_s = 0.0
    for _ in range(10):
        now_s += 0.9 * SETTINGS.retention_s
        assert is_refused(node_quarantine, now_s)
        assert node_quarantine.take_unshared(now_s, CALL, 300.0)
        assert not node_quarantine.take_unshared(now_s, CALL, 300.0)


def test_record_of_many_deaths_stays_small_and_counts_new_ones():
    node_quarantine = make_quarantine()
    for number in range(10 * suspect_record.MAXIMUM_EVENTS):
        event_id = f"e{number}"
        node_quarantine.merge(1.0, [make_report(KIND.DEATH, event_id)])
        if number % 3:
            node_quarantine.merge(1.0, [make_report(KIND.CLEARED, event_id)])
    told = node_quarantine.get_reports(1.0, CALL.digest_key)
    assert len(told) <= 3 * suspect_record.MAXIMUM_EVENTS
    assert is_refused(node_quarantine)
    node_quarantine = make_quarantine()
    for number in range(10 * suspect_record.MAXIMUM_EVENTS):
        event_id = f"e{number}"
        node_quarantine.merge(
            1.0,
            [
                make_report(KIND.DEATH, event_id),
                make_report(KIND.CLEARED, event_id),
            ],
        )
    assert not is_refused(node_quarantine)
    node_quarantine.merge(
        1.0, [make_report(KIND.DEATH, f"n{number}") for number in range(3)]
    )
    assert is_refused(node_quarantine)


def test_cancelled_run_counts_only_for_a_while():
    node_quarantine = make_quarantine()
    node_quarantine.start("t", CALL, is_suspect=False)
    node_quarantine.finish(1.0, "t", False, may_still_run=True)
    assert node_quarantine.has_abandoned(2.0)
    assert node_quarantine.endpoint_died(1.0 + 2 * SETTINGS.linger_s) == []
    node_quarantine.start("t", CALL, is_suspect=False)
    node_quarantine.finish(5.0, "t", False, may_still_run=True)
    assert node_quarantine.endpoint_died(5.0 + 0.5 * SETTINGS.linger_s)


def test_attacker_who_fills_the_table_releases_no_refused_call():
    generator = random.Random(1)
    settings = quarantine_settings.QuarantineSettings(maximum_records=50)
    node_quarantine = quarantine.Quarantine(settings, "a", 1)
    node_quarantine.merge(
        1.0,
        [
            make_report(KIND.DEATH, "e1"),
            make_report(KIND.DEATH, "e2"),
            make_report(KIND.SOLE_DEATH, "e2"),
        ],
    )
    for number in range(500):
        digest = f"{generator.getrandbits(64):x}"
        call = fingerprint.Fingerprint("", "", digest)
        node_quarantine.start(str(number), call, is_suspect=False)
        node_quarantine.endpoint_died(2.0)
    assert node_quarantine.record_count <= 50
    assert is_refused(node_quarantine, 3.0)
