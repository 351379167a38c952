"""The replica loop answers last and stops at an entry it cannot apply.

Guards against answering a command while later entries of the same batch are
not applied yet, and against continuing with a state machine that skipped an
entry and so differs from the other replicas.
"""

import types

from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import entry
from cranberrymux.control import replica_loop
from cranberrymux.telemetry import null_sink


class FakeMachine:
    def __init__(self):
        self.applied = []

    def apply(self, payload):
        if payload == b"bad":
            raise ValueError("unknown command")
        self.applied.append(payload)
        return payload


class FakeDriver:
    def __init__(self):
        journal = types.SimpleNamespace(applied_index=3)
        self.replica = types.SimpleNamespace(journal=journal)

    def next_batch(self):
        return ()


class FakeFolder:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


def make_loop():
    machine = FakeMachine()
    errors = []
    loop = replica_loop.ReplicaLoop(
        FakeDriver(),
        FakeFolder(),
        machine=machine,
        peers=None,
        reactor=None,
        metrics=null_sink.NullSink(),
        report_storage_failure=errors.append,
        report_unexpected_error=errors.append,
    )
    return loop, machine, errors


def make_actions(*payloads):
    entries = tuple(
        entry.Entry(index, 1, entry.EntryKind.COMMAND, payload)
        for index, payload in enumerate(payloads, 1)
    )
    return actions_module.Actions(committed=entries)


def test_answers_after_all_committed_entries_are_applied():
    loop, machine, _ = make_loop()
    answers = []
    loop.proposals.add(1, 1).addCallback(
        lambda answer: answers.append((answer, list(machine.applied)))
    )
    loop.execute(make_actions(b"a", b"b"))
    assert answers == [(b"a", [b"a", b"b"])]


def test_stops_without_an_answer_at_an_entry_that_cannot_be_applied():
    loop, machine, errors = make_loop()
    answers = []
    loop.proposals.add(1, 1).addCallback(answers.append)
    loop.execute(make_actions(b"a", b"bad", b"c"))
    loop.execute(make_actions(b"d"))
    assert errors == ["ValueError: unknown command"]
    assert machine.applied == [b"a"]
    assert answers == []
