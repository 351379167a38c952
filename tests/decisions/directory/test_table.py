"""The directory: order of news, leases, deltas, and what it does not know."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.directory import table as table_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

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
    table = table_module.Table(LEASE_S, 60.0, 0.0)
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


def test_newer_news_wins_and_older_is_dropped():
    table = make_table()
    assert table.announce(make_record(sequence=2), NOW_S)
    assert not table.announce(make_record(sequence=1), NOW_S)
    assert not table.announce(make_record(sequence=2), NOW_S)
    assert table.announce(make_record(sequence=1, incarnation=2), NOW_S)
    assert table.find("n1").incarnation == 2


def test_a_lease_ends_and_the_endpoint_may_come_back():
    table = make_table()
    table.announce(make_record(), NOW_S)
    revision = table.revision
    assert not tick_until(table, NOW_S, NOW_S + LEASE_S - 0.5)
    assert tick_until(table, NOW_S + 2.5, NOW_S + LEASE_S)
    found = table.read(["notes"], revision, NOW_S + LEASE_S)
    assert [one.state for one in found.records] == [State.GONE]
    assert table.announce(make_record(), NOW_S + LEASE_S)
    assert table.find("n1").state is State.SERVING


def test_an_endpoint_that_left_does_not_come_back_by_old_news():
    table = make_table()
    table.announce(make_record(sequence=2, state=State.GONE), NOW_S)
    assert not table.announce(make_record(sequence=2), NOW_S)
    assert not table.announce(make_record(sequence=1), NOW_S)
    assert table.find("n1").state is State.GONE
    assert table.announce(make_record(sequence=3), NOW_S)


def test_deltas_hold_what_changed_for_the_services_asked():
    table = make_table()
    table.announce(make_record("n1"), NOW_S)
    table.announce(make_record("n2", service="other"), NOW_S)
    whole = table.read(["notes"], 0, NOW_S)
    assert whole.is_whole
    assert [one.endpoint_id for one in whole.records] == ["n1"]
    table.announce(make_record("n3"), NOW_S)
    added = table.read(["notes"], whole.revision, NOW_S)
    assert not added.is_whole
    assert [one.endpoint_id for one in added.records] == ["n3"]
    assert table.read(["notes"], added.revision, NOW_S).records == ()


def test_a_new_table_only_adds():
    table = table_module.Table(LEASE_S, 60.0, 0.0)
    table.announce(make_record(), 1.0)
    found = table.read(["notes"], 0, 1.0)
    assert (found.is_whole, found.revision) == (False, 0)
    assert len(found.records) == 1
    tick_until(table, 0.0, 3.0)
    assert table.read(["notes"], 0, 3.0).is_whole


def test_a_table_that_was_frozen_ends_no_lease():
    table = make_table()
    table.announce(make_record(), NOW_S)
    thawed_s = NOW_S + 100.0
    assert table.tick(thawed_s) == []
    assert not table.is_complete(thawed_s)
    assert not table.read(["notes"], table.revision, thawed_s).is_whole
    assert table.find("n1").state is State.SERVING
    assert tick_until(table, thawed_s, thawed_s + LEASE_S)


def test_an_endpoint_that_changed_its_service_leaves_the_old_one():
    table = make_table()
    table.announce(make_record(), NOW_S)
    revision = table.revision
    table.announce(make_record(sequence=2, service="other"), NOW_S)
    found = table.read(["notes"], revision, NOW_S)
    assert found.is_whole and found.records == ()


def test_tombstones_are_forgotten():
    table = table_module.Table(LEASE_S, 5.0, 0.0)
    tick_until(table, 0.0, NOW_S)
    table.announce(make_record(), NOW_S)
    revision = table.revision
    tick_until(table, NOW_S, NOW_S + 20.0)
    assert table.records() == []
    assert table.read(["notes"], revision, NOW_S + 20.0).is_whole


def run_copy(generator):
    """A node that asks now and then, and loses answers, ends with the table."""
    table = table_module.Table(LEASE_S, 5.0, 0.0)
    now_s = 0.0
    copy = {}
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
                    copy = {}
                copy |= {one.endpoint_id: one for one in found.records}
                revision = found.revision
    now_s += 0.1
    tick_until(table, now_s, now_s + LEASE_S + 0.5)
    now_s += LEASE_S + 0.5
    found = table.read(["notes"], revision, now_s)
    if found.is_whole:
        copy = {}
    copy |= {one.endpoint_id: one for one in found.records}
    live = {
        name: one for name, one in copy.items() if one.state is not State.GONE
    }
    expected = {
        one.endpoint_id: one
        for one in table.records()
        if one.service == "notes" and one.state is not State.GONE
    }
    assert live == expected


@hypothesis.settings(
    derandomize=True, database=None, max_examples=150, deadline=None
)
@hypothesis.given(strategies.integers(0, 1 << 30))
def test_a_copy_by_deltas_ends_equal(seed):
    run_copy(random.Random(seed))


def no_tombstone_floor(self, found):
    del self._service_of[found.record.endpoint_id]
    del self._services[found.record.service][found.record.endpoint_id]


@pytest.mark.parametrize(
    ("name", "mutant"),
    [
        ("_forget", no_tombstone_floor),
        ("tick", lambda self, now_s: []),
    ],
    ids=["forgotten revision", "leases"],
)
def test_the_check_fails_without_its_mechanism(monkeypatch, name, mutant):
    if name == "tick":
        with pytest.raises(AssertionError):
            monkeypatch.setattr(table_module.Table, name, mutant)
            test_a_lease_ends_and_the_endpoint_may_come_back()
        return
    monkeypatch.setattr(table_module.Table, name, mutant)
    with pytest.raises(AssertionError):
        for seed in range(3000):
            run_copy(random.Random(seed))
