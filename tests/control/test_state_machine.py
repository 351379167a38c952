"""Every replica that applies the same commands comes to the same state."""

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


def test_replicas_agree_also_by_snapshot():
    for seed in range(30):
        commands = list(make_commands(random.Random(seed), 60))
        one = make_machine()
        other = make_machine()
        for number, command in enumerate(commands):
            answer = one.apply(command)
            if number % 7 == 3:
                state = b"".join(other.dump())
                other = make_machine()
                other.restore(state)
            assert other.apply(command) == answer
        assert list(one.dump()) == list(other.dump())


def test_a_dump_holds_the_state_of_its_beginning(monkeypatch):
    monkeypatch.setattr(state_machine, "CLAIMS_PER_PART", 2)
    commands = list(make_commands(random.Random(5), 120))
    one = make_machine()
    for command in commands[:60]:
        one.apply(command)
    whole = b"".join(one.dump())
    parts = one.dump()
    taken = [next(parts)]
    for command, part in zip(commands[60:], parts, strict=False):
        one.apply(command)
        taken.append(part)
    taken.extend(parts)
    assert b"".join(taken) == whole
    assert len(taken) > 2
    copy = make_machine()
    copy.restore(whole)
    assert b"".join(copy.dump()) == whole


def test_time_never_goes_back():
    machine = make_machine()
    machine.apply(codec.encode(ttypes.Command(at_ms=START_MS)))
    machine.apply(codec.encode(ttypes.Command(at_ms=START_MS - 9)))
    assert machine.now_ms == START_MS
