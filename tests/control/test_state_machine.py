"""Replicas that apply the same commands reach the same state.

Guards against replicas that diverge because one of them was restored from a
snapshot, or because a snapshot was encoded while commands were applied.
"""

import random

from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.decisions.claims import schedules

START_MS = schedules.START_MS


def make_machine():
    return state_machine.StateMachine(claim_settings.ClaimSettings())


def make_commands(generator, count):
    for number in range(count):
        command = ttypes.Command(at_ms=START_MS + generator.randint(-5, number))
        request_id = schedules.uuid7(START_MS, generator.randrange(5))
        kind = generator.randrange(5)
        if kind == 0:
            command.change = ttypes.ChangeRequest(
                change_id=f"id-{generator.randrange(30)}",
                base_version=generator.randrange(5),
                author="ann",
                document=f"n: {number}",
            )
        elif kind == 1:
            owner = f"n{generator.randrange(2)}"
            command.claim = calls.make_claim(request_id, owner, owner)
        elif kind == 2:
            command.settle = calls.make_settlement(
                request_id, "n0", "n0", generator.choice((0, 200)), b"\x00\xff"
            )
        elif kind == 3:
            command.abandon = ttypes.AbandonRequest(
                request_id=request_id,
                call_id="1",
                owner="n0",
                owner_incarnation=1,
            )
        else:
            command.suspect = ttypes.SuspectReport(
                fingerprint="p", endpoint_id="e", incarnation=number
            )
        yield codec.encode(command)


def test_replica_restored_from_snapshots_gives_the_same_answers_and_state():
    for seed in range(30):
        commands = list(make_commands(random.Random(seed), 60))
        reference = make_machine()
        restored = make_machine()
        for number, command in enumerate(commands):
            answer = reference.apply(command)
            if number % 7 == 3:
                state = b"".join(restored.dump())
                restored = make_machine()
                restored.restore(state)
            assert restored.apply(command) == answer
        assert list(reference.dump()) == list(restored.dump())


def test_dump_contains_the_state_at_its_call(monkeypatch):
    monkeypatch.setattr(state_machine, "CLAIMS_PER_PART", 2)
    commands = list(make_commands(random.Random(5), 120))
    machine = make_machine()
    for command in commands[:60]:
        machine.apply(command)
    whole = b"".join(machine.dump())
    parts = machine.dump()
    encoded = [next(parts)]
    for command, part in zip(commands[60:], parts, strict=False):
        machine.apply(command)
        encoded.append(part)
    encoded.extend(parts)
    assert b"".join(encoded) == whole
    assert len(encoded) > 2
    copy = make_machine()
    copy.restore(whole)
    assert b"".join(copy.dump()) == whole


def test_earlier_command_time_does_not_decrease_the_time():
    machine = make_machine()
    machine.apply(codec.encode(ttypes.Command(at_ms=START_MS)))
    machine.apply(codec.encode(ttypes.Command(at_ms=START_MS - 9)))
    assert machine.now_ms == START_MS


def test_first_claim_of_a_name_with_one_id_holds():
    machine = make_machine()
    for reporter, granted in (("a", "a"), ("b", "a"), ("a", "a")):
        report = ttypes.SuspectReport(
            fingerprint="d/trial-0",
            endpoint_id=reporter,
            incarnation=0,
            items=[
                ttypes.SuspectItem(
                    fingerprint="d/trial-0", event_id=reporter, maximum_ids=1
                ),
                ttypes.SuspectItem(fingerprint="d", event_id=reporter),
            ],
        )
        command = ttypes.Command(at_ms=1, suspect=report)
        answer = machine.apply(codec.encode(command))
        assert answer.suspect.event_ids == [granted]
    assert machine.suspects.get("d") == ["a", "b"]
