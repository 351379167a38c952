"""How long a control instance that is lost for good counts for the quorum.

Guards against a time above the platform's `catch_up`, after which one more disk
may be lost: too few voters would then be left.
"""

from concurrent import futures
import json
import time

import pytest

from tests.platform import fleet as fleet_module
from tests.platform import test_planned_replacement

wait_until = fleet_module.wait_until
REPLACED_IN_S = test_planned_replacement.REPLACED_IN_S
ROUTES = 1_050


def large_configuration(version):
    """Encodes a configuration with as many routes as the platform has."""
    values = json.loads(fleet_module.configuration(version))
    row = values["routes"]["rows"][0]
    values["routes"]["rows"] += [
        [f"route-{number}", row[1], f"/{number}/", *row[3:]]
        for number in range(ROUTES)
    ]
    return json.dumps(values).encode()


def put_large(fleet, version, instances):
    body = large_configuration(version)
    wait_until(
        lambda: any(
            x.put(version, version - 1, body=body) == 200 for x in instances
        )
    )
    for instance in instances:
        wait_until(lambda instance=instance: instance.get() == version)


def seconds_until_voters(fleet, instances):
    """Waits until the voters are these; returns how long that took."""
    started_s = time.monotonic()
    addresses = {instance.ip for instance in instances}
    wait_until(
        lambda: (
            {identity.partition("@")[0] for identity in fleet.voters()}
            == addresses
        )
    )
    return time.monotonic() - started_s


def restart_all(instances):
    """Kills all and starts them again; returns once all of them listen."""
    for instance in instances:
        instance.kill()
    with futures.ThreadPoolExecutor(len(instances)) as executor:
        list(executor.map(fleet_module.Instance.restart, instances))


@pytest.mark.parametrize("cuts_power", [False, True], ids=["alone", "all"])
def test_a_killed_instance_that_was_replaced_soon_counts_no_more(
    tmp_path, cuts_power
):
    """Its successor is a voter; perhaps all others are killed with it."""
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        put_large(fleet, 2, fleet.instances)
        fleet.add(9).start()
        seconds_until_voters(fleet, fleet.instances)
        old = test_planned_replacement.leader_of(fleet)
        kept = [x for x in fleet.instances if x is not old]
        old.kill()
        if cuts_power:
            restart_all(kept)
        taken_s = seconds_until_voters(fleet, kept)
        assert taken_s < REPLACED_IN_S
        # One more may lose its disk now.
        kept[0].kill()
        kept[0].wipe()
        kept[0].start()
        for instance in kept:
            wait_until(lambda instance=instance: instance.get() == 2)


@pytest.mark.parametrize("count", [3, 4])
def test_a_lost_disk_is_replaced_in_time_after_a_loss_of_power(tmp_path, count):
    """From when all listen, one of them empty, to the end of its old vote."""
    with fleet_module.Fleet(tmp_path, count) as fleet:
        fleet.put_until_accepted(1, 0)
        seconds_until_voters(fleet, fleet.instances)
        put_large(fleet, 2, fleet.instances)
        old_identities = fleet.voters()
        lost = fleet.instances[0]
        lost.kill()
        lost.wipe()
        restart_all(fleet.instances)
        started_s = time.monotonic()

        def is_replaced():
            voters = fleet.voters()
            fresh = voters - old_identities
            return len(fresh) == 1 and len(voters) == count

        wait_until(is_replaced)
        taken_s = time.monotonic() - started_s
        assert taken_s < REPLACED_IN_S
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == 2)


def test_an_instance_whose_seeds_are_gone_is_found_by_the_others(tmp_path):
    """It lost its disk, and its list of seeds names none that is there."""
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        seconds_until_voters(fleet, fleet.instances)
        old_identities = fleet.voters()
        leader = test_planned_replacement.leader_of(fleet)
        # Without a new election, in which all make contact with all.
        lost = next(x for x in fleet.instances if x is not leader)
        lost.kill()
        lost.wipe()
        fleet.seeds = [f"{fleet.net}.200:{fleet.control_port}"]
        lost.start()
        wait_until(lambda: lost.get() == 1)
        wait_until(lambda: len(fleet.voters() - old_identities) == 1)
