"""A cluster is founded once; a lost disk never founds a second one."""

import random

import pytest

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write
from cranberrymux.control import control_settings
from cranberrymux.control import joining
from cranberrymux.control import peer

PEERS = tuple(peer.Peer(f"c{one}", "127.0.0.1", 7000 + one) for one in range(3))


class Names:
    def __init__(self, names):
        self.names = names


def make_joining(control_id="c0", count=3):
    settings = control_settings.ControlSettings(
        **dict.fromkeys(control_settings.ControlSettings._fields, 0)
    )._replace(control_id=control_id, peers=PEERS[:count])
    restored = restored_state.RestoredState(
        f"{control_id}@1", write.HardState(0, ""), snapshot.NONE, ()
    )
    driver = driver_module.LogDriver(
        replica_settings.ReplicaSettings(), random.Random(1), restored, 0.0
    )
    names = Names(tuple(one.control_id for one in settings.other_peers))
    return joining.Joining(settings, driver, names)


def test_founds_once_every_other_instance_is_known_to_be_empty():
    one = make_joining()
    assert one.found_if_all_are_new(10.0) is None
    one.note_answer("c1", 10.0, "")
    assert one.found_if_all_are_new(10.0) is None
    one.note_answer("c2", 10.0, "")
    assert one.found_if_all_are_new(10.1) is not None
    assert one.found_if_all_are_new(10.1) is None


@pytest.mark.parametrize(
    "answers",
    [
        [("c1", 10.0, ""), ("c2", 10.0, "cluster")],
        [("c1", 10.0, ""), ("c2", 8.0, "")],
        [("c1", 10.0, ""), ("c2", 10.0, ""), ("c2", 10.0, "cluster")],
    ],
    ids=["one has a log", "one is silent", "one has a log by now"],
)
def test_founds_nothing_while_another_may_hold_a_log(answers):
    one = make_joining()
    for answer in answers:
        one.note_answer(*answer)
    assert one.found_if_all_are_new(10.1) is None


def test_only_the_first_of_the_settings_founds():
    one = make_joining("c1")
    one.note_answer("c0", 10.0, "")
    one.note_answer("c2", 10.0, "")
    assert one.found_if_all_are_new(10.1) is None


def test_one_instance_alone_founds_at_once():
    assert make_joining(count=1).found_if_all_are_new(10.0) is not None


def test_contacts_all_until_it_is_a_member():
    one = make_joining()
    assert one.next_contacts(10.0) == ("c1", "c2")
    assert one.next_contacts(10.0) == ()
    assert one.next_contacts(10.0 + joining.CONTACT_S) == ("c1", "c2")


def test_adds_no_stranger():
    one = make_joining()
    assert one.add_learner(10.0, "c9@1", "127.0.0.1:1") is None
    assert one.add_learner(10.0, "c0@2", "127.0.0.1:1") is None
