"""Control instances whose disks are full, one after another, as processes.

Guards against changes that stay unanswered because an instance that can store
nothing ends and counts for the quorum again at each start.
"""

import datetime
import json
import random
import resource
import time

import pytest

from tests.platform import fleet as fleet_module

wait_until = fleet_module.wait_until

FULL_S = 3.0
# The platform's `ack`, within which a change is to be answered.
ACK_S = 4.0
CHANGE_INTERVAL_S = 0.5
# Far more than a log file has by then, so that the data alone is cut off.
CHANGE_BYTES = 400_000
_UNLIMITED = resource.RLIM_INFINITY


class FullDisk:
    """Lets no file of an instance grow beyond its newest log segment."""

    def __init__(self, instance):
        self._instance = instance

    def __enter__(self):
        newest = max(self._instance.data.glob("log-*"))
        size_bytes = newest.stat().st_size
        assert self._instance.log.stat().st_size < size_bytes / 2
        self._limit(size_bytes + 100)

    def __exit__(self, *_):
        self._limit(_UNLIMITED)

    def _limit(self, size_bytes):
        resource.prlimit(
            self._instance.process.pid,
            resource.RLIMIT_FSIZE,
            (size_bytes, _UNLIMITED),
        )


def large_configuration(version):
    """Encodes a configuration that hardly gets smaller when compressed."""
    values = json.loads(fleet_module.configuration(version))
    row = values["routes"]["rows"][0]
    generator = random.Random(version)
    count = CHANGE_BYTES // 400
    values["routes"]["rows"] += [
        [f"r-{number}", row[1], f"/{generator.randbytes(150).hex()}/", *row[3:]]
        for number in range(count)
    ]
    return json.dumps(values).encode()


def change(fleet, version):
    """Sends a change to all instances in turn; returns the time it took."""
    body = large_configuration(version)
    started_s = time.monotonic()

    def is_acknowledged():
        return any(
            instance.put(version, version - 1, body=body) == 200
            for instance in fleet.instances
        )

    wait_until(is_acknowledged)
    return time.monotonic() - started_s


def now():
    return datetime.datetime.now(datetime.UTC).isoformat()


def count_events(instance, name):
    return sum(event["event"] == name for event in instance.events())


def promotions(fleet, instance, since):
    """Returns when an instance has been promoted since a time."""
    return [
        event["time"]
        for other in fleet.instances
        for event in other.events()
        if event["event"] == "members-change"
        and event["kind"] == "promote"
        and event["replica_id"].startswith(f"{instance.ip}@")
        and event["time"] > since
    ]


def all_vote(fleet):
    voters = {voter.partition("@")[0] for voter in fleet.voters()}
    return voters == {instance.ip for instance in fleet.instances}


def change_while_full(fleet, instance, version):
    """Fills the disk of an instance for a while; returns the last version."""
    wait_until(lambda: instance.get() == version)
    since = now()
    with FullDisk(instance):
        until_s = time.monotonic() + FULL_S
        while time.monotonic() < until_s:
            version += 1
            assert change(fleet, version) < ACK_S
            time.sleep(CHANGE_INTERVAL_S)
        assert instance.process.poll() is None
        assert count_events(instance, "disk-full") == 1
        assert not promotions(fleet, instance, since)
    wait_until(lambda: count_events(instance, "disk-has-room") == 1)
    wait_until(lambda: all_vote(fleet))
    return version


@pytest.mark.parametrize("count", [3, 4])
def test_disks_that_are_full_one_after_another_stop_no_change(tmp_path, count):
    """Leader included; an instance that can store nothing runs on."""
    with fleet_module.Fleet(tmp_path, count) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: all_vote(fleet))
        version = 2
        change(fleet, version)
        for instance in fleet.instances:
            version = change_while_full(fleet, instance, version)
        version += 1
        assert change(fleet, version) < ACK_S
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == version)
            assert count_events(instance, "control-ready") == 1
