"""Snapshots of the state of control instances are encoded in small parts.

Guards against a snapshot that delays heartbeats until the leader lease ends,
and against a state on disk that a newer program cannot read.
"""

import json
import random

import pytest

from cranberrymux.control import conversions
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.configuration import change
from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import ttypes
from tests import new_process
from tests import stopwatch
from tests.control import test_large_configuration
from tests.control import test_state_machine

MAXIMUM_STEP_S = test_large_configuration.MAXIMUM_STEP_S
# A quarter of the leader lease on the platform, 0.5 s.
MAXIMUM_RESTORE_S = 0.125
MAXIMUM_PART_BYTES = 1 << 19


def make_document(version):
    generator = random.Random(version)
    return "".join(f"{generator.getrandbits(320):080x}\n" for _ in range(2500))


def make_full_machine(changes=300, conflicts=2000):
    """Returns a machine after changes that each replace 200 kB."""
    machine = state_machine.StateMachine(claim_settings.ClaimSettings())
    for number in range(changes + conflicts):
        version = machine.configuration.version
        is_accepted = version < changes
        requested = change.Change(
            f"change-{number}",
            version if is_accepted else 0,
            "ann",
            make_document(version) if is_accepted else "",
        )
        encoded = conversions.encode_change(requested)
        machine.apply(codec.encode(ttypes.Command(at_ms=1, change=encoded)))
    assert machine.configuration.version == changes
    return machine


def encode_in_the_earlier_format(machine):
    """Encodes as programs did whose first line held all configuration."""
    parts = [json.loads(part) for part in machine.dump()]
    header = parts[0]
    configuration = {"records": [], "documents": [], "answers": []}
    claims = []
    for part in parts[1:]:
        for key, values in part.items():
            if key == "version":
                configuration["version"] = values
            elif key == "claims":
                claims.append(values)
            else:
                configuration[key] += values
    header = {**header, "format": 1, "configuration": configuration}
    return b"".join(
        json.dumps(line).encode() + b"\n" for line in [header, *claims]
    )


def longest_steps_of_a_full_state_s():
    """Returns those of its encoding and of its restoration."""
    machine = make_full_machine()
    watch = stopwatch.Stopwatch()
    parts = []
    encoding = watch.measure(machine.dump)
    while (part := watch.measure(next, encoding, None)) is not None:
        parts.append(part)
        assert len(part) <= MAXIMUM_PART_BYTES
    encoded_s = watch.longest_s
    restored = test_state_machine.make_machine()
    watch.measure(restored.restore, b"".join(parts))
    assert list(restored.dump()) == parts
    return encoded_s, watch.longest_s


def test_a_full_state_is_encoded_in_short_steps():
    """Guards against a leader that loses its lease to its own snapshot."""
    encoded_s, restored_s = new_process.run(longest_steps_of_a_full_state_s)
    assert encoded_s < MAXIMUM_STEP_S
    assert restored_s < MAXIMUM_RESTORE_S


def test_a_snapshot_of_the_earlier_format_is_read():
    """Guards against instances that cannot start after an upgrade."""
    machine = test_state_machine.make_machine()
    commands = test_state_machine.make_commands(random.Random(1), 200)
    for command in commands:
        machine.apply(command)
    assert machine.claims.entries()
    upgraded = test_state_machine.make_machine()
    upgraded.restore(encode_in_the_earlier_format(machine))
    assert list(upgraded.dump()) == list(machine.dump())


def test_a_snapshot_of_an_unknown_format_is_refused():
    machine = test_state_machine.make_machine()
    with pytest.raises(ValueError, match="version 9"):
        machine.restore(b'{"format":9,"now_ms":0,"suspects":[]}\n')
