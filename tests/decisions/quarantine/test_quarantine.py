"""Suspects, clean runs and the final refusal."""

import pytest

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import standing
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

CLEAR = standing.Standing.CLEAR
SUSPECT = standing.Standing.SUSPECT
ALONE = standing.Standing.ALONE


def make(**changes):
    settings = quarantine_settings.QuarantineSettings(**changes)
    return quarantine.Quarantine(settings, "a1", 7)


def call(request_id="r1", body=b"poison"):
    return fingerprint.make(
        "s", request_id, "POST", "/run", body=body, body_bytes=len(body)
    )


def kill(one, now_s, *calls):
    for number, each in enumerate(calls):
        is_suspect = one.judge(now_s, each) is not CLEAR
        one.start(f"t{number}", each, is_suspect=is_suspect)
    return one.endpoint_died(now_s)


def test_every_call_in_flight_at_a_death_is_a_suspect():
    one = make()
    assert one.judge(0.0, call()) is CLEAR
    reports = kill(one, 1.0, call("r1"), call("r2", b"innocent"))
    assert death_report.DeathReport("s/id:r1", "a1", 7, 1, False) in reports
    assert len(reports) == 4
    assert one.judge(1.0, call("r1")) is SUSPECT
    assert one.judge(1.0, call("r2", b"innocent")) is SUSPECT
    assert one.judge(1.0, call("r3", b"other")) is CLEAR


def test_a_resend_under_another_id_is_known_by_its_digest():
    one = make()
    kill(one, 1.0, call("r1"))
    assert one.judge(1.0, call("r9")) is SUSPECT


def test_a_resend_with_another_body_is_known_by_its_id():
    one = make()
    kill(one, 1.0, call("r1", b"first"))
    assert one.judge(1.0, call("r1", b"second")) is SUSPECT


def test_refuses_for_good_after_the_second_death_if_it_was_sole():
    one = make()
    kill(one, 1.0, call(), call("r2", b"innocent"))
    assert one.judge(1.0, call()) is SUSPECT
    kill(one, 2.0, call(), call("r3", b"beside"))
    verdict = one.judge(2.0, call())
    assert verdict.reason is refusal_reason.RefusalReason.QUARANTINED
    assert one.judge(2.0, call("r2", b"innocent")) is SUSPECT
    assert one.judge(2.0, call("r3", b"beside")) is SUSPECT


def test_a_first_death_is_no_proof_even_alone():
    one = make()
    kill(one, 1.0, call())
    assert one.judge(1.0, call()) is SUSPECT


def test_refuses_for_good_after_the_third_death():
    one = make()
    other = call("r2", b"other suspect")
    kill(one, 1.0, call(), other)
    kill(one, 2.0, call(), other)
    assert one.judge(2.0, call()) is ALONE
    kill(one, 3.0, call(), other)
    verdict = one.judge(3.0, call())
    # It ran under this id, with what effect nobody knows.
    assert verdict.kind is answer_kind.AnswerKind.UNKNOWN
    assert verdict.reason is refusal_reason.RefusalReason.QUARANTINED
    assert verdict.retry_after_ms == 0
    under_new_id = one.judge(3.0, call("r9"))
    assert under_new_id.kind is answer_kind.AnswerKind.NOT_RUN
    assert under_new_id.reason is refusal_reason.RefusalReason.QUARANTINED


def test_deaths_elsewhere_count():
    one = make()
    one.merge_report(1.0, call().keys[1], 2)
    assert one.judge(1.0, call("r9")) is ALONE
    kill(one, 2.0, call())
    assert one.judge(2.0, call()).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


def test_an_older_report_takes_nothing_back():
    one = make()
    one.merge_report(1.0, call().keys[1], 3)
    one.merge_report(2.0, call().keys[1], 1)
    assert one.judge(2.0, call()).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


def test_one_clean_run_clears_an_innocent():
    one = make()
    innocent = call("r2", b"innocent")
    kill(one, 1.0, call(), innocent)
    one.start("t", innocent, is_suspect=True)
    reports = one.finish(2.0, "t", is_clean=True)
    assert clear_report.ClearReport(innocent.keys[1], 1) in reports
    assert one.judge(2.0, innocent) is CLEAR
    assert one.judge(2.0, call()) is SUSPECT


def test_a_clean_run_elsewhere_clears():
    one = make()
    one.merge_report(1.0, call().keys[1], 1)
    one.merge_report(2.0, call().keys[1], 1, cleared=1)
    assert one.judge(2.0, call()) is CLEAR


def test_a_late_report_of_a_cleared_death_changes_nothing():
    one = make()
    innocent = call("r2", b"innocent")
    kill(one, 1.0, innocent)
    one.start("t", innocent, is_suspect=True)
    one.finish(2.0, "t", is_clean=True)
    one.merge_report(3.0, innocent.keys[1], 1)
    assert one.judge(3.0, innocent) is CLEAR


def test_a_cancelled_run_proves_nothing():
    one = make()
    kill(one, 1.0, call())
    one.start("t", call(), is_suspect=True)
    assert one.finish(2.0, "t", is_clean=False) == []
    assert one.judge(2.0, call()) is SUSPECT


def test_a_clean_sibling_does_not_clear_the_request():
    one = make()
    kill(one, 1.0, call("r1", b"poison"), call("r1", b"sibling"))
    one.start("t", call("r1", b"sibling"), is_suspect=True)
    one.finish(2.0, "t", is_clean=True)
    assert one.judge(2.0, call("r1", b"poison")) is SUSPECT
    assert one.judge(2.0, call("r1", b"changed")) is SUSPECT


def test_records_age_out():
    one = make(life_s=10.0)
    kill(one, 1.0, call())
    assert one.judge(10.9, call()) is SUSPECT
    assert one.judge(11.0, call()) is CLEAR


def test_records_are_bounded_and_keep_the_worst():
    one = make(maximum_records=10)
    for now_s in (1.0, 2.0, 3.0):
        kill(one, now_s, call("worst", b"worst"))
    for number in range(100):
        kill(one, 4.0, call(f"r{number}", b"%d" % number))
    assert one.record_count == 10
    assert one.judge(5.0, call("worst", b"worst")).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


@pytest.mark.parametrize(
    "other",
    [
        fingerprint.make("s", "r", "GET", "/run", body=b"x", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/other", body=b"x", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/run", body=b"y", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/run", body=b"x", body_bytes=2),
    ],
)
def test_the_digest_covers_method_path_body_and_length(other):
    assert (
        other.digest
        != fingerprint.make(
            "s", "r", "POST", "/run", body=b"x", body_bytes=1
        ).digest
    )


def test_a_caller_may_know_of_a_death_first():
    one = make()
    assert one.judge(1.0, call(), lost_attempts=1) is SUSPECT
    assert one.judge(1.0, call(), lost_attempts=2) is ALONE
    assert one.judge(1.0, call(), lost_attempts=3).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


def test_calls_of_one_request_to_other_services_are_not_blamed():
    one = make()
    kill(one, 1.0, call())
    elsewhere = call()._replace(service="other")
    assert one.judge(1.0, elsewhere) is CLEAR
