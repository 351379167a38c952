"""Control instances that find each other by seeds, as real processes.

Guards against a second cluster, lost or reordered configurations and a vote
under an old identity, when instances start, lose their disks or are replaced.
"""

import pytest

from tests.platform import fleet as fleet_module

wait_until = fleet_module.wait_until
configuration = fleet_module.configuration


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 4) as fleet:
        fleet.put_until_accepted(3, 0)
        yield fleet


def current(fleet):
    """Returns the highest version in force, once any instance has one."""
    return wait_until(
        lambda: max(
            (instance.get() or 0 for instance in fleet.instances), default=0
        )
    )


def test_first_start_forms_one_cluster_with_all_as_voters(fleet):
    wait_until(lambda: len(fleet.voters()) == 4)
    founders = [
        instance
        for instance in fleet.instances
        if any(
            event["event"] == "cluster-founded" for event in instance.events()
        )
    ]
    assert len(founders) == 1


def test_accepted_version_is_read_at_every_instance(fleet):
    version = current(fleet)
    for instance in fleet.instances:
        wait_until(lambda instance=instance: instance.get() == version)


def test_resent_change_is_accepted_again_at_every_instance(fleet):
    version = current(fleet)
    fleet.put_until_accepted(version + 2, version)
    for instance in fleet.instances:
        wait_until(
            lambda instance=instance: (
                instance.put(version + 2, version) in (200, 503)
                and instance.put(version + 2, version) == 200
            )
        )


def test_other_content_on_an_outdated_base_is_a_conflict(fleet):
    version = current(fleet)
    fleet.put_until_accepted(version + 5, version)
    statuses = {
        instance.put(version + 5, version, "s2") for instance in fleet.instances
    }
    assert statuses <= {412, 307, 503}
    assert 412 in statuses
    assert current(fleet) == version + 5


def test_one_of_two_changes_on_the_same_base_is_accepted(fleet):
    version = current(fleet)
    first = fleet.instances[0].put(version + 1, version, "s1")
    second = fleet.instances[1].put(version + 1, version, "s2")
    assert sorted((first, second)) in ([200, 412], [200, 307], [200, 503])


@pytest.mark.parametrize(
    "change",
    [
        {"version": 0},
        {"services": {"columns": ["name"], "rows": [["s9"]]}},
        {"routes": {"columns": ["name"], "rows": [["r1"]]}},
        {"limits": None},
    ],
    ids=["old version", "unknown service", "columns missing", "no limits"],
)
def test_invalid_configuration_is_rejected(fleet, change):
    version = current(fleet)
    body = configuration(change.pop("version", version + 1), **change)
    statuses = {
        instance.put(0, version, body=body) for instance in fleet.instances
    }
    assert 200 not in statuses
    assert 400 in statuses
    assert current(fleet) == version


def test_truncated_configuration_is_rejected(fleet):
    version = current(fleet)
    body = configuration(version + 1)[:-40]
    assert fleet.instances[0].put(0, version, body=body) == 400


@pytest.mark.parametrize("mutant", ["", "wiped-votes"])
def test_instance_with_wiped_disk_returns_as_a_new_replica(tmp_path, mutant):
    """Keeps its address, but must not vote under its old identity."""
    code = ""
    if mutant:
        # Disables the mechanism: every new identity equals the old one.
        code = (
            "from cranberrymux.storage import opening\n"
            "opening.os.urandom = lambda count: b'x' * count\n"
        )
    with fleet_module.Fleet(tmp_path, 3, code) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: len(fleet.voters()) == 3)
        identities = set(fleet.voters())
        wiped = fleet.instances[2]
        wiped.kill()
        wiped.wipe()
        wiped.start()
        fleet.put_until_accepted(2, 1)
        if mutant:
            assert set(fleet.voters()) == identities
            return

        def is_replaced():
            voters = fleet.agreed_voters(fleet.instances)
            return len(voters) == 3 and voters != identities

        wait_until(is_replaced)
        fresh = fleet.agreed_voters(fleet.instances) - identities
        assert [identity.partition("@")[0] for identity in fresh] == [wiped.ip]
        wait_until(lambda: wiped.get() == 2)


def test_instance_at_a_new_address_replaces_a_lost_voter(tmp_path):
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: len(fleet.voters()) == 3)
        lost = fleet.instances[0]  # A seed and the founder.
        lost.kill()
        added = fleet.add(9)
        added.start()
        wait_until(
            lambda: (
                {identity.partition("@")[0] for identity in fleet.voters()}
                == {instance.ip for instance in fleet.instances[1:]}
            )
        )
        fleet.put_until_accepted(2, 1, fleet.instances[1:])
        # With the replacement as a voter, one more instance may fail.
        fleet.instances[1].kill()
        fleet.put_until_accepted(3, 2, fleet.instances[2:])


def test_accepted_version_survives_a_kill_of_all_instances(tmp_path):
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(4, 0)
        for instance in fleet.instances:
            instance.kill()
        for instance in fleet.instances:
            instance.start()
        for instance in fleet.instances:
            wait_until(lambda instance=instance: instance.get() == 4)


def test_empty_disk_after_the_first_start_founds_no_cluster(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 1)
    alone = fleet.instances[0]
    alone.is_first_start = False
    with fleet:
        wait_until(lambda: alone.call("GET", "/cranberrymux/config")[0] == 503)
        assert alone.put(1, 0) == 503
        assert not any(e["event"] == "cluster-founded" for e in alone.events())


def test_invalid_seeds_exit_with_one_error_line(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 1)
    fleet.seeds = ["nowhere"]
    with fleet:
        instance = fleet.instances[0]
        assert instance.process.wait(10) == 2
        lines = instance.log.read_text().splitlines()
        assert len(lines) == 1
