"""A cluster is founded once, and never again after a disk is lost.

Guards against a second cluster next to the first: an instance with an empty
disk founds one although another instance still holds a log, or has not
answered lately whether it does.
"""

import random

import pytest

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write
from cranberrymux.control import cluster_formation
from cranberrymux.control import control_settings
from cranberrymux.control import peer

PEERS = tuple(
    peer.Peer(f"c{number}", "127.0.0.1", 7000 + number) for number in range(3)
)


class FakePeerClients:
    def __init__(self, names):
        self.names = names


def make_formation(control_id="c0", count=3):
    settings = control_settings.ControlSettings(
        **dict.fromkeys(control_settings.ControlSettings._fields, 0)
    )._replace(control_id=control_id, peers=PEERS[:count])
    restored = restored_state.RestoredState(
        f"{control_id}@1", write.HardState(0, ""), snapshot.NONE, ()
    )
    driver = driver_module.LogDriver(
        replica_settings.ReplicaSettings(), random.Random(1), restored, 0.0
    )
    peer_clients = FakePeerClients(
        tuple(other.control_id for other in settings.other_peers)
    )
    return cluster_formation.ClusterFormation(settings, driver, peer_clients)


def test_founds_once_when_all_others_are_known_to_hold_no_log():
    formation = make_formation()
    assert formation.found_cluster_if_due(10.0) is None
    formation.note_contact_answer("c1", 10.0, "")
    assert formation.found_cluster_if_due(10.0) is None
    formation.note_contact_answer("c2", 10.0, "")
    assert formation.found_cluster_if_due(10.1) is not None
    assert formation.found_cluster_if_due(10.1) is None


@pytest.mark.parametrize(
    "answers",
    [
        [("c1", 10.0, ""), ("c2", 10.0, "cluster")],
        [("c1", 10.0, ""), ("c2", 8.0, "")],
        [("c1", 10.0, ""), ("c2", 10.0, ""), ("c2", 10.0, "cluster")],
    ],
    ids=["one holds a log", "one answer is too old", "one holds a log by now"],
)
def test_does_not_found_while_another_may_hold_a_log(answers):
    formation = make_formation()
    for answer in answers:
        formation.note_contact_answer(*answer)
    assert formation.found_cluster_if_due(10.1) is None


def test_instance_that_is_not_first_in_the_settings_does_not_found():
    formation = make_formation("c1")
    formation.note_contact_answer("c0", 10.0, "")
    formation.note_contact_answer("c2", 10.0, "")
    assert formation.found_cluster_if_due(10.1) is None


def test_only_instance_in_the_settings_founds_at_once():
    assert make_formation(count=1).found_cluster_if_due(10.0) is not None


def test_non_member_contacts_all_others_at_intervals():
    formation = make_formation()
    assert formation.next_contacts(10.0) == ("c1", "c2")
    assert formation.next_contacts(10.0) == ()
    assert formation.next_contacts(10.0 + cluster_formation.CONTACT_S) == (
        "c1",
        "c2",
    )


def test_adds_no_replica_with_an_unknown_name_or_its_own():
    formation = make_formation()
    assert formation.add_learner(10.0, "c9@1", "127.0.0.1:1") is None
    assert formation.add_learner(10.0, "c0@2", "127.0.0.1:1") is None
