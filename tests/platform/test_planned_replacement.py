"""Control instances that end on purpose, as real processes.

Guards against a voter that ended on purpose and still counts for the quorum:
one more lost disk then leaves too few voters, and no configuration can be read
or changed any more.
"""

import signal
import time

import pytest

from cranberrymux.platform import settings_file
from tests.control import calls
from tests.platform import fleet as fleet_module

wait_until = fleet_module.wait_until

# The platform's time after which a new instance counts as sound, `catch_up`.
CATCH_UP_S = 4.0
# Left of it once a process listens; its start takes as long as the machine lets
# it.
REPLACED_IN_S = CATCH_UP_S - 1.0
RECOVERY_S = 15.0
# The platform's `grace`, after which it kills an instance that is to end.
GRACE_S = 6.0


def leader_of(fleet):
    """Returns the running instance that took the leader role last."""
    changes = [
        (event["time"], event["role"], instance)
        for instance in fleet.instances
        if instance.process is not None and instance.process.poll() is None
        for event in instance.events()
        if event["event"] == "role-changed"
    ]
    leads = [change for change in changes if change[1] == "leader"]
    return max(leads, key=lambda change: change[0])[2] if leads else None


def end(instance):
    """Sends SIGTERM and returns the seconds until the process has ended."""
    started_s = time.monotonic()
    instance.process.send_signal(signal.SIGTERM)
    assert instance.process.wait(GRACE_S) == 0
    return time.monotonic() - started_s


def lose_disk(instance):
    instance.kill()
    instance.wipe()


def voting_addresses(fleet):
    return {identity.partition("@")[0] for identity in fleet.voters()}


def wait_for_voters(fleet, instances):
    addresses = {instance.ip for instance in instances}
    wait_until(lambda: voting_addresses(fleet) == addresses)


@pytest.mark.parametrize("old_leads", [False, True], ids=["follower", "leader"])
def test_a_disk_lost_after_a_planned_replacement_leaves_a_quorum(
    tmp_path, old_leads
):
    """The old one has ended by SIGTERM; its vote must not count any more."""
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        fleet.add(9).start()
        wait_for_voters(fleet, fleet.instances)
        leader = leader_of(fleet)
        old = (
            leader
            if old_leads
            else next(
                instance
                for instance in fleet.instances[:3]
                if instance is not leader
            )
        )
        end(old)
        kept = [x for x in fleet.instances if x is not old]
        fleet.put_until_accepted(2, 1, kept)
        lost = kept[0]
        lose_disk(lost)
        lost.start()
        started_s = time.monotonic()
        for instance in kept:
            wait_until(lambda instance=instance: instance.get() == 2)
        assert time.monotonic() - started_s < RECOVERY_S
        fleet.put_until_accepted(3, 2, kept)
        wait_for_voters(fleet, kept)


def told_addresses(instance):
    """Returns the control instances of which one tells a node."""
    answer = calls.call(
        instance.fleet.port,
        "heartbeat",
        calls.make_heartbeat("n"),
        key=settings_file.CLUSTER_KEY,
        host=instance.ip,
    )
    return {address.partition(":")[0] for address in answer.control_instances}


def test_nodes_are_not_told_of_an_instance_that_has_left(tmp_path):
    """Else each node connects to its address again and again."""
    with fleet_module.Fleet(tmp_path, 4) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        old = fleet.instances[3]
        kept = fleet.instances[:3]
        end(old)
        expected = {instance.ip for instance in kept}
        for instance in kept:
            wait_until(
                lambda instance=instance: told_addresses(instance) == expected
            )


def test_all_instances_restarted_in_turn_are_voters_again(tmp_path):
    """Each one leaves, comes back on its own disk and is a voter again."""
    with fleet_module.Fleet(tmp_path, 4) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        identities = fleet.voters()
        for number, instance in enumerate(fleet.instances, 1):
            end(instance)
            others = [x for x in fleet.instances if x is not instance]
            wait_for_voters(fleet, others)
            fleet.put_until_accepted(1 + number, number, others)
            instance.restart()
            started_s = time.monotonic()
            wait_until(
                lambda: fleet.agreed_voters(fleet.instances) == identities
            )
            assert time.monotonic() - started_s < REPLACED_IN_S
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == 5)


def test_an_instance_that_is_needed_ends_at_once_and_stays_a_voter(tmp_path):
    """With fewer voters the loss of a disk could lose what was accepted."""
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        ended = fleet.instances[2]
        assert end(ended) < settings_file.LEAVE_LIMIT_S
        kept = fleet.instances[:2]
        fleet.put_until_accepted(2, 1, kept)
        assert voting_addresses(fleet) == {x.ip for x in fleet.instances}
        ended.start()
        wait_until(lambda: ended.get() == 2)


def test_an_instance_without_a_quorum_ends_in_time(tmp_path):
    """Nobody can remove it, and it must not wait for that."""
    with fleet_module.Fleet(tmp_path, 4) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        for instance in fleet.instances[1:]:
            instance.kill()
        assert end(fleet.instances[0]) < GRACE_S / 2
        for instance in fleet.instances:
            instance.start()
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == 1)


def test_several_instances_that_end_at_once_leave_enough_voters(tmp_path):
    """Only one of four may leave; all come back with what was accepted."""
    with fleet_module.Fleet(tmp_path, 4) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_for_voters(fleet, fleet.instances)
        for instance in fleet.instances:
            instance.process.send_signal(signal.SIGTERM)
        for instance in fleet.instances:
            assert instance.process.wait(GRACE_S) == 0
        assert len(fleet.voters()) >= 3
        for instance in fleet.instances:
            instance.start()
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == 1)
        wait_for_voters(fleet, fleet.instances)
