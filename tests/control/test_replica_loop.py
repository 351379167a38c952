"""The loop answers last, and ends where its state would be in doubt."""

import types

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import entry
from cranberrymux.control import replica_loop
from cranberrymux.telemetry import null_sink


class Machine:
    def __init__(self):
        self.applied = []

    def apply(self, payload):
        if payload == b"bad":
            raise ValueError("unknown command")
        self.applied.append(payload)
        return payload


class Driver:
    def __init__(self):
        journal = types.SimpleNamespace(applied_index=3)
        self.replica = types.SimpleNamespace(journal=journal)

    def next_batch(self):
        return ()


class Folder:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


def make_loop():
    machine = Machine()
    faults = []
    loop = replica_loop.ReplicaLoop(
        Driver(),
        Folder(),
        machine=machine,
        peers=None,
        reactor=None,
        metrics=null_sink.NullSink(),
        report_failure=faults.append,
        report_fault=faults.append,
    )
    return loop, machine, faults


def make_actions(*payloads):
    entries = tuple(
        entry.Entry(index, 1, entry.EntryKind.COMMAND, payload)
        for index, payload in enumerate(payloads, 1)
    )
    return driver_module.Actions(committed=entries)


def test_answers_once_all_entries_are_applied():
    loop, machine, _ = make_loop()
    seen = []
    loop.proposals.add(1, 1).addCallback(
        lambda answer: seen.append((answer, list(machine.applied)))
    )
    loop.act(make_actions(b"a", b"b"))
    assert seen == [(b"a", [b"a", b"b"])]


def test_ends_at_an_entry_that_cannot_be_applied():
    loop, machine, faults = make_loop()
    seen = []
    loop.proposals.add(1, 1).addCallback(seen.append)
    loop.act(make_actions(b"a", b"bad", b"c"))
    loop.act(make_actions(b"d"))
    assert faults == ["ValueError: unknown command"]
    assert machine.applied == [b"a"]
    assert seen == []
