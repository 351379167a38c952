"""When a control instance that is to end has left the members.

Guards against one that ends as if it had left, because it does not know yet
that the others have added it: its vote counts for the quorum, and one more lost
disk leaves too few voters for good.
"""

import random

import pytest
from twisted.internet import task

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write
from cranberrymux.control import member_departure

LIMIT_S = 2.0
OTHERS = tuple(
    member.Member(f"{name}@1", "127.0.0.1:7000", True) for name in "bcd"
)


class FakeFormation:
    """Decides that any instance may leave."""

    def must_stay(self):
        return False


@pytest.fixture
def clock():
    return task.Clock()


def begin(clock, members):
    """Starts the departure of instance `a`, whose log ends with `members`."""
    stored = snapshot.Snapshot(
        9, 1, membership.Membership("cluster", members), b""
    )
    restored = restored_state.RestoredState(
        "a@1", write.HardState(1, ""), stored, ()
    )
    driver = driver_module.LogDriver(
        replica_settings.ReplicaSettings(), random.Random(1), restored, 0.0
    )
    departure = member_departure.MemberDeparture(driver, FakeFormation(), clock)
    ended = []
    departure.begin(LIMIT_S).addCallback(ended.append)
    return departure, ended


# Guards against an old log taken for the members of now.
def test_instance_does_not_take_its_own_log_for_proof_that_it_has_left(clock):
    departure, ended = begin(clock, OTHERS)
    clock.advance(LIMIT_S / 2)
    departure.update()
    assert ended == []
    assert departure.is_under_way


def test_instance_has_left_once_the_leader_says_so(clock):
    departure, ended = begin(clock, OTHERS)
    departure.end(True)
    clock.advance(LIMIT_S)
    assert ended == [True]


def test_instance_that_no_leader_answers_ends_in_time(clock):
    departure, ended = begin(clock, OTHERS)
    clock.advance(LIMIT_S)
    departure.update()
    assert ended == [False]
