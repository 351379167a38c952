"""The memory of control instances does not grow with changes times their size.

Guards against instances that pass their memory after many changes of a large
configuration, and then at each start, so that no read of what was acknowledged
is answered any more.
"""

import base64
import random

import pytest

from cranberrymux.consensus import replica_settings
from cranberrymux.decisions.configuration import ledger_settings
from cranberrymux.storage import opening
from tests.platform import fleet as fleet_module

TEXT_BYTES = 300_000
CHANGES = 150
BYTES_PER_MB = 1 << 20
REPLICA = replica_settings.ReplicaSettings()
LEDGER = ledger_settings.DEFAULTS
LOG_BYTES = REPLICA.snapshot_log_bytes + REPLICA.retained_log_bytes
STATE_BYTES = LEDGER.document_characters + LEDGER.difference_characters
# The log and a segment that is read or written, and the state with two of its
# snapshots, the one in use and its successor, which is encoded twice.
GROWTH_MB = (LOG_BYTES + opening.SEGMENT_BYTES + 4 * STATE_BYTES) / BYTES_PER_MB
# Connections, decoded documents and fragments of the allocator.
OTHER_MB = 16.0


@pytest.fixture
def fleet(tmp_path):
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        fleet_module.wait_until(lambda: len(fleet.voters()) == 3)
        yield fleet


def make_body(version):
    """Makes a configuration with a text that compresses badly."""
    data = random.Random(version).randbytes(TEXT_BYTES)
    text = base64.b64encode(data).decode()
    return fleet_module.configuration(version, remark=text)


def put_each(fleet, first, last):
    instance = fleet.instances[0]
    for version in range(first, last + 1):
        body = make_body(version)

        def is_accepted(version=version, body=body):
            return instance.put(version, version - 1, body=body) == 200

        fleet_module.wait_until(is_accepted)


def wait_for(instances, version):
    for instance in instances:
        fleet_module.wait_until(
            lambda instance=instance: instance.get() == version
        )


def test_many_changes_of_a_large_configuration_keep_the_memory_bound(fleet):
    small_mb = max(instance.peak_mb() for instance in fleet.instances)
    bound_mb = small_mb + GROWTH_MB + OTHER_MB
    put_each(fleet, 2, CHANGES)
    peaks = {"serving": [each.peak_mb() for each in fleet.instances]}
    for instance in fleet.instances:
        instance.kill()
    for instance in fleet.instances:
        instance.start()
    wait_for(fleet.instances, CHANGES)
    peaks["start from a full disk"] = [
        each.peak_mb() for each in fleet.instances
    ]
    behind = fleet.instances[-1]
    behind.kill()
    behind.wipe()
    behind.start()
    wait_for([behind], CHANGES)
    peaks["start from an empty disk"] = [behind.peak_mb()]
    assert max(max(values) for values in peaks.values()) <= bound_mb, peaks
