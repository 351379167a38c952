"""Guards against a directory that misses or invents changes of endpoints.

That happens when an older announcement overwrites a newer one, when a delta
omits a record that was removed since its revision, or when leases end because
the control instance itself was paused or has just started.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from tests import profiles

State = endpoint_state.EndpointState
LEASE_S = 3.0


def make_record(name="n1", sequence=1, state=State.SERVING, **more):
    values = {
        "service": "notes",
        "endpoint_id": name,
        "incarnation": 1,
        "sequence": sequence,
        "address": "127.0.0.1",
        "port": 80,
        "region": "r",
        "zone": "z",
        "labels": {},
        "slots": 5,
        "state": state,
    }
    return endpoint_record.EndpointRecord(**{**values, **more})


def make_table():
    table = endpoint_table.EndpointTable(LEASE_S, 60.0, 0.0)
    for step in range(1, 9):
        table.tick(step * 0.5)
    return table


NOW_S = 4.0


def tick_until(table, start_s, end_s):
    ended = []
    while start_s < end_s:
        start_s += 0.5
        ended += table.tick(start_s)
    return ended


def test_newer_announcement_replaces_the_record_and_older_is_ignored():
    table = make_table()
    assert table.announce(make_record(sequence=2), NOW_S)
    assert not table.announce(make_record(sequence=1), NOW_S)
    assert not table.announce(make_record(sequence=2), NOW_S)
    assert table.announce(make_record(sequence=1, incarnation=2), NOW_S)
    assert table.find("n1").incarnation == 2


def test_expired_endpoint_is_gone_until_it_announces_again():
    table = make_table()
    table.announce(make_record(), NOW_S)
    revision = table.revision
    assert not tick_until(table, NOW_S, NOW_S + LEASE_S - 0.5)
    assert tick_until(table, NOW_S + 2.5, NOW_S + LEASE_S)
    found = table.read(["notes"], revision, NOW_S + LEASE_S)
    assert [record.state for record in found.records] == [State.GONE]
    assert table.announce(make_record(), NOW_S + LEASE_S)
    assert table.find("n1").state is State.SERVING


def test_endpoint_that_left_is_not_revived_by_its_old_announcements():
    table = make_table()
    table.announce(make_record(sequence=2, state=State.GONE), NOW_S)
    assert not table.announce(make_record(sequence=2), NOW_S)
    assert not table.announce(make_record(sequence=1), NOW_S)
    assert table.find("n1").state is State.GONE
    assert table.announce(make_record(sequence=3), NOW_S)


def test_delta_holds_only_changes_of_the_requested_services():
    table = make_table()
    table.announce(make_record("n1"), NOW_S)
    table.announce(make_record("n2", service="other"), NOW_S)
    whole = table.read(["notes"], 0, NOW_S)
    assert whole.is_whole
    assert [record.endpoint_id for record in whole.records] == ["n1"]
    table.announce(make_record("n3"), NOW_S)
    added = table.read(["notes"], whole.revision, NOW_S)
    assert not added.is_whole
    assert [record.endpoint_id for record in added.records] == ["n3"]
    assert table.read(["notes"], added.revision, NOW_S).records == ()


def test_reads_are_incremental_until_one_lease_after_the_start():
    table = endpoint_table.EndpointTable(LEASE_S, 60.0, 0.0)
    table.announce(make_record(), 1.0)
    found = table.read(["notes"], 0, 1.0)
    assert (found.is_whole, found.revision) == (False, 0)
    assert len(found.records) == 1
    tick_until(table, 0.0, 3.0)
    assert table.read(["notes"], 0, 3.0).is_whole


def test_paused_table_ends_no_lease_for_one_lease_after_the_pause():
    table = make_table()
    table.announce(make_record(), NOW_S)
    resumed_s = NOW_S + 100.0
    assert table.tick(resumed_s) == []
    assert not table.is_complete(resumed_s)
    assert not table.read(["notes"], table.revision, resumed_s).is_whole
    assert table.find("n1").state is State.SERVING
    assert tick_until(table, resumed_s, resumed_s + LEASE_S)


def test_read_of_old_service_is_complete_after_endpoint_changed_service():
    table = make_table()
    table.announce(make_record(), NOW_S)
    revision = table.revision
    table.announce(make_record(sequence=2, service="other"), NOW_S)
    found = table.read(["notes"], revision, NOW_S)
    assert found.is_whole and found.records == ()


def test_read_is_complete_after_a_tombstone_was_removed():
    table = endpoint_table.EndpointTable(LEASE_S, 5.0, 0.0)
    tick_until(table, 0.0, NOW_S)
    table.announce(make_record(), NOW_S)
    revision = table.revision
    tick_until(table, NOW_S, NOW_S + 20.0)
    assert table.records() == []
    assert table.read(["notes"], revision, NOW_S + 20.0).is_whole


def check_replica(generator):
    """Checks that a node's replica ends equal to the table.

    The node reads at random times and loses a third of the answers.
    """
    table = endpoint_table.EndpointTable(LEASE_S, 5.0, 0.0)
    now_s = 0.0
    replica = {}
    revision = 0
    sequences = {}
    for _ in range(120):
        now_s += generator.choice((0.1, 0.5, 1.0))
        table.tick(now_s)
        name = f"n{generator.randrange(4)}"
        action = generator.randrange(4)
        if action < 2:
            sequences[name] = sequences.get(name, 0) + generator.randrange(2)
            state = generator.choice(list(State))
            service = generator.choice(("notes", "other"))
            table.announce(
                make_record(name, sequences[name], state, service=service),
                now_s,
            )
        elif action == 2:
            found = table.read(["notes"], revision, now_s)
            if generator.randrange(3):
                if found.is_whole:
                    replica = {}
                replica |= {
                    record.endpoint_id: record for record in found.records
                }
                revision = found.revision
    now_s += 0.1
    tick_until(table, now_s, now_s + LEASE_S + 0.5)
    now_s += LEASE_S + 0.5
    found = table.read(["notes"], revision, now_s)
    if found.is_whole:
        replica = {}
    replica |= {record.endpoint_id: record for record in found.records}
    live = {
        name: record
        for name, record in replica.items()
        if record.state is not State.GONE
    }
    expected = {
        record.endpoint_id: record
        for record in table.records()
        if record.service == "notes" and record.state is not State.GONE
    }
    assert live == expected


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=150)
@hypothesis.given(strategies.integers(0, 1 << 30))
def test_replica_built_from_deltas_equals_the_table(seed):
    check_replica(random.Random(seed))


def remove_without_minimum_revision(self, tombstone):
    del self._service_by_endpoint[tombstone.record.endpoint_id]
    del self._services[tombstone.record.service][tombstone.record.endpoint_id]


@pytest.mark.parametrize(
    ("name", "mutant"),
    [
        ("_remove_tombstone", remove_without_minimum_revision),
        ("tick", lambda self, now_s: []),
    ],
    ids=["minimum delta revision", "leases"],
)
def test_check_fails_when_the_mechanism_is_disabled(monkeypatch, name, mutant):
    if name == "tick":
        with pytest.raises(AssertionError):
            monkeypatch.setattr(endpoint_table.EndpointTable, name, mutant)
            test_expired_endpoint_is_gone_until_it_announces_again()
        return
    monkeypatch.setattr(endpoint_table.EndpointTable, name, mutant)
    with pytest.raises(AssertionError):
        for seed in range(3000):
            check_replica(random.Random(seed))
