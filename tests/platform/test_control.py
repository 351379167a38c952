"""Control instances that know only seeds, as real processes."""

import pytest

from tests.platform import fleet as fleet_module

wait_until = fleet_module.wait_until
configuration = fleet_module.configuration


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 4) as made:
        made.put_until_accepted(3, 0)
        yield made


def current(fleet):
    return wait_until(
        lambda: max((one.get() or 0 for one in fleet.instances), default=0)
    )


def test_forms_one_cluster_with_every_instance_as_voter(fleet):
    wait_until(lambda: len(fleet.voters()) == 4)
    founded = [
        one
        for one in fleet.instances
        if any(e["event"] == "cluster-founded" for e in one.events())
    ]
    assert len(founded) == 1


def test_reads_back_at_every_instance_what_was_put(fleet):
    version = current(fleet)
    for one in fleet.instances:
        wait_until(lambda one=one: one.get() == version)


def test_a_resend_is_acknowledged_again_at_any_instance(fleet):
    version = current(fleet)
    fleet.put_until_accepted(version + 2, version)
    for one in fleet.instances:
        wait_until(
            lambda one=one: (
                one.put(version + 2, version) in (200, 503)
                and one.put(version + 2, version) == 200
            )
        )


def test_another_base_or_content_is_a_conflict(fleet):
    version = current(fleet)
    fleet.put_until_accepted(version + 5, version)
    statuses = {one.put(version + 5, version, "s2") for one in fleet.instances}
    assert statuses <= {412, 307, 503}
    assert 412 in statuses
    assert current(fleet) == version + 5


def test_of_two_on_one_base_one_wins(fleet):
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
def test_refuses_what_is_not_valid(fleet, change):
    version = current(fleet)
    body = configuration(change.pop("version", version + 1), **change)
    statuses = {one.put(0, version, body=body) for one in fleet.instances}
    assert 200 not in statuses
    assert 400 in statuses
    assert current(fleet) == version


def test_refuses_one_that_is_cut_short(fleet):
    version = current(fleet)
    body = configuration(version + 1)[:-40]
    assert fleet.instances[0].put(0, version, body=body) == 400


@pytest.mark.parametrize("mutant", ["", "wiped-votes"])
def test_a_wiped_disk_never_votes_as_who_it_was(tmp_path, mutant):
    """Its address is the same; it comes back as another replica."""
    code = ""
    if mutant:
        # Takes the mechanism out: an identity that survives the disk.
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
        wait_until(
            lambda: (
                len(fleet.voters()) == 3 and set(fleet.voters()) != identities
            )
        )
        fresh = set(fleet.voters()) - identities
        assert [one.partition("@")[0] for one in fresh] == [wiped.ip]
        wait_until(lambda: wiped.get() == 2)


def test_an_instance_at_another_address_takes_the_place_of_a_lost_one(tmp_path):
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: len(fleet.voters()) == 3)
        lost = fleet.instances[0]  # A seed, and the founder.
        lost.kill()
        added = fleet.add(9)
        added.start()
        wait_until(
            lambda: (
                {one.partition("@")[0] for one in fleet.voters()}
                == {one.ip for one in fleet.instances[1:]}
            )
        )
        fleet.put_until_accepted(2, 1, fleet.instances[1:])
        # The new place holds: one more may be lost now.
        fleet.instances[1].kill()
        fleet.put_until_accepted(3, 2, fleet.instances[2:])


def test_keeps_what_was_acknowledged_when_all_are_killed_at_once(tmp_path):
    with fleet_module.Fleet(tmp_path, 3) as fleet:
        fleet.put_until_accepted(4, 0)
        for one in fleet.instances:
            one.kill()
        for one in fleet.instances:
            one.start()
        for one in fleet.instances:
            wait_until(lambda one=one: one.get() == 4)


def test_an_instance_with_an_empty_disk_founds_nothing(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 1)
    alone = fleet.instances[0]
    alone.is_first_start = False
    with fleet:
        wait_until(lambda: alone.call("GET", "/cranberrymux/config")[0] == 503)
        assert alone.put(1, 0) == 503
        assert not any(e["event"] == "cluster-founded" for e in alone.events())


def test_settings_that_cannot_be_read_end_in_one_line(tmp_path):
    fleet = fleet_module.Fleet(tmp_path, 1)
    fleet.seeds = ["nowhere"]
    with fleet:
        one = fleet.instances[0]
        assert one.process.wait(10) == 2
        lines = one.log.read_text().splitlines()
        assert len(lines) == 1
