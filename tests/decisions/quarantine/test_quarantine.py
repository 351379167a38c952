"""Classification of calls by the deaths counted for their fingerprints.

Guards against a call that crashes backend servers and is resent, under another
id or with another body, until no backend server is left; and against refusing
calls that were only in flight beside it.
"""

import pytest

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

CLEAR = isolation.Isolation.CLEAR
SUSPECT = isolation.Isolation.SUSPECT
ALONE = isolation.Isolation.ALONE
KIND = report_kind.ReportKind


def make_report(key, kind, event_id):
    return suspect_report.SuspectReport(key, kind, event_id)


def merge_deaths(node_quarantine, now_s, *event_ids):
    """Merges reports of other nodes on deaths under `make_call()`."""
    key = make_call().digest_key
    return node_quarantine.merge(
        now_s, [make_report(key, KIND.DEATH, one) for one in event_ids]
    )


def make_quarantine(**changes):
    settings = quarantine_settings.QuarantineSettings(**changes)
    return quarantine.Quarantine(settings, "a1", 7)


def make_call(request_id="r1", body=b"poison"):
    return fingerprint.make(
        "s", request_id, "POST", "/run", body=body, body_bytes=len(body)
    )


def crash(node_quarantine, now_s, *calls):
    for number, each in enumerate(calls):
        is_suspect = node_quarantine.classify(now_s, each) is not CLEAR
        node_quarantine.start(f"t{number}", each, is_suspect=is_suspect)
    return node_quarantine.endpoint_died(now_s)


def test_every_call_in_flight_at_a_death_becomes_a_suspect():
    node_quarantine = make_quarantine()
    assert node_quarantine.classify(0.0, make_call()) is CLEAR
    reports = crash(
        node_quarantine, 1.0, make_call("r1"), make_call("r2", b"innocent")
    )
    assert make_report("s/id:r1", KIND.DEATH, "a1#7#1") in reports
    assert len(reports) == 4
    assert node_quarantine.classify(1.0, make_call("r1")) is SUSPECT
    assert (
        node_quarantine.classify(1.0, make_call("r2", b"innocent")) is SUSPECT
    )
    assert node_quarantine.classify(1.0, make_call("r3", b"other")) is CLEAR


def test_resend_under_another_id_is_recognised_by_its_digest():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call("r1"))
    assert node_quarantine.classify(1.0, make_call("r9")) is SUSPECT


def test_resend_with_another_body_is_recognised_by_its_id():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call("r1", b"first"))
    assert node_quarantine.classify(1.0, make_call("r1", b"second")) is SUSPECT


def test_sole_suspect_is_refused_after_the_second_death():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call(), make_call("r2", b"innocent"))
    assert node_quarantine.classify(1.0, make_call()) is SUSPECT
    crash(node_quarantine, 2.0, make_call(), make_call("r3", b"beside"))
    verdict = node_quarantine.classify(2.0, make_call())
    assert verdict.reason is refusal_reason.RefusalReason.QUARANTINED
    assert (
        node_quarantine.classify(2.0, make_call("r2", b"innocent")) is SUSPECT
    )
    assert node_quarantine.classify(2.0, make_call("r3", b"beside")) is SUSPECT


def test_sole_call_is_only_a_suspect_after_the_first_death():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call())
    assert node_quarantine.classify(1.0, make_call()) is SUSPECT


def test_suspect_among_others_is_refused_after_the_third_death():
    node_quarantine = make_quarantine()
    other = make_call("r2", b"other suspect")
    crash(node_quarantine, 1.0, make_call(), other)
    crash(node_quarantine, 2.0, make_call(), other)
    assert node_quarantine.classify(2.0, make_call()) is ALONE
    crash(node_quarantine, 3.0, make_call(), other)
    verdict = node_quarantine.classify(3.0, make_call())
    # The call ran under this id, so its effect is unknown.
    assert verdict.kind is answer_kind.AnswerKind.UNKNOWN
    assert verdict.reason is refusal_reason.RefusalReason.QUARANTINED
    assert verdict.retry_after_ms == 0
    under_new_id = node_quarantine.classify(3.0, make_call("r9"))
    assert under_new_id.kind is answer_kind.AnswerKind.NOT_RUN
    assert under_new_id.reason is refusal_reason.RefusalReason.QUARANTINED


def test_deaths_reported_by_other_nodes_count():
    node_quarantine = make_quarantine()
    merge_deaths(node_quarantine, 1.0, "b1#1#1", "c1#1#1")
    assert node_quarantine.classify(1.0, make_call("r9")) is ALONE
    crash(node_quarantine, 2.0, make_call())
    assert node_quarantine.classify(2.0, make_call()).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


def test_older_report_does_not_lower_the_count():
    node_quarantine = make_quarantine()
    merge_deaths(node_quarantine, 1.0, "b1#1#1", "c1#1#1", "d1#1#1")
    merge_deaths(node_quarantine, 2.0, "b1#1#1")
    assert node_quarantine.classify(2.0, make_call()).reason is (
        refusal_reason.RefusalReason.QUARANTINED
    )


def test_one_clean_run_clears_an_innocent_call():
    node_quarantine = make_quarantine()
    innocent = make_call("r2", b"innocent")
    crash(node_quarantine, 1.0, make_call(), innocent)
    node_quarantine.start("t", innocent, is_suspect=True)
    reports = node_quarantine.finish(2.0, "t", is_clean=True)
    cleared = make_report(innocent.digest_key, KIND.CLEARED, "a1#7#1")
    assert cleared in reports
    assert node_quarantine.classify(2.0, innocent) is CLEAR
    assert node_quarantine.classify(2.0, make_call()) is SUSPECT


def test_clean_run_reported_by_another_node_clears():
    node_quarantine = make_quarantine()
    merge_deaths(node_quarantine, 1.0, "b1#1#1")
    cleared = make_report(make_call().digest_key, KIND.CLEARED, "b1#1#1")
    node_quarantine.merge(2.0, [cleared])
    assert node_quarantine.classify(2.0, make_call()) is CLEAR


def test_late_report_of_a_cleared_death_changes_nothing():
    node_quarantine = make_quarantine()
    innocent = make_call("r2", b"innocent")
    crash(node_quarantine, 1.0, innocent)
    node_quarantine.start("t", innocent, is_suspect=True)
    node_quarantine.finish(2.0, "t", is_clean=True)
    late = make_report(innocent.digest_key, KIND.DEATH, "a1#7#1")
    node_quarantine.merge(3.0, [late])
    assert node_quarantine.classify(3.0, innocent) is CLEAR


def test_cancelled_run_clears_nothing():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call())
    node_quarantine.start("t", make_call(), is_suspect=True)
    assert node_quarantine.finish(2.0, "t", is_clean=False) == []
    assert node_quarantine.classify(2.0, make_call()) is SUSPECT


def test_clean_run_of_a_sibling_call_does_not_clear_the_request():
    node_quarantine = make_quarantine()
    crash(
        node_quarantine,
        1.0,
        make_call("r1", b"poison"),
        make_call("r1", b"sibling"),
    )
    node_quarantine.start("t", make_call("r1", b"sibling"), is_suspect=True)
    node_quarantine.finish(2.0, "t", is_clean=True)
    assert node_quarantine.classify(2.0, make_call("r1", b"poison")) is SUSPECT
    assert node_quarantine.classify(2.0, make_call("r1", b"changed")) is SUSPECT


def test_record_is_dropped_at_its_maximum_age():
    node_quarantine = make_quarantine(retention_s=10.0)
    crash(node_quarantine, 1.0, make_call())
    assert node_quarantine.classify(10.9, make_call()) is SUSPECT
    assert node_quarantine.classify(11.0, make_call()) is CLEAR


def test_full_table_evicts_suspects_before_refused_calls():
    node_quarantine = make_quarantine(maximum_records=10)
    for now_s in (1.0, 2.0, 3.0):
        crash(node_quarantine, now_s, make_call("worst", b"worst"))
    for number in range(100):
        crash(node_quarantine, 4.0, make_call(f"r{number}", b"%d" % number))
    assert node_quarantine.record_count == 10
    assert node_quarantine.classify(
        5.0, make_call("worst", b"worst")
    ).reason is (refusal_reason.RefusalReason.QUARANTINED)


@pytest.mark.parametrize(
    "other",
    [
        fingerprint.make("s", "r", "GET", "/run", body=b"x", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/other", body=b"x", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/run", body=b"y", body_bytes=1),
        fingerprint.make("s", "r", "POST", "/run", body=b"x", body_bytes=2),
    ],
)
def test_digest_covers_method_path_body_and_length(other):
    assert (
        other.digest
        != fingerprint.make(
            "s", "r", "POST", "/run", body=b"x", body_bytes=1
        ).digest
    )


def test_deaths_reported_by_the_caller_count():
    node_quarantine = make_quarantine()
    assert (
        node_quarantine.classify(1.0, make_call(), lost_attempts=1) is SUSPECT
    )
    assert node_quarantine.classify(1.0, make_call(), lost_attempts=2) is ALONE
    assert node_quarantine.classify(
        1.0, make_call(), lost_attempts=3
    ).reason is (refusal_reason.RefusalReason.QUARANTINED)


def test_call_of_the_request_to_another_service_stays_clear():
    node_quarantine = make_quarantine()
    crash(node_quarantine, 1.0, make_call())
    elsewhere = make_call()._replace(scope="other")
    assert node_quarantine.classify(1.0, elsewhere) is CLEAR
