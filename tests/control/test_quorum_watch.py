"""The log lines of a control instance without contact with a quorum.

Guards against an instance that refuses every read without telling which voters
it misses.
"""

import structlog.testing

from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import role
from cranberrymux.consensus import status
from cranberrymux.control import quorum_watch


def read_status(now_s):
    del now_s
    members = tuple(member.Member(name, "", True) for name in ("b@1", "a@1"))
    return status.Status(
        replica_id="a@1",
        role=role.Role.FOLLOWER,
        term=1,
        leader_hint="",
        members=membership.Membership("cluster", members),
        commit_index=7,
        applied_index=7,
        durable_index=7,
        last_index=7,
        silent_voters=("b@1",),
        quorum_heard=False,
    )


def test_a_lost_quorum_names_the_silent_voters():
    with structlog.testing.capture_logs() as lines:
        watch = quorum_watch.QuorumWatch()
        watch.update(1.0, 500, read_status)
        watch.update(2.0, 0, read_status)
        watch.update(3.0, 0, read_status)
        watch.update(4.5, 500, read_status)
    heard, lost, again = lines
    assert heard["event"] == "quorum-heard"
    assert heard["without_s"] == 0.0
    assert lost["event"] == "quorum-lost"
    assert lost["voters"] == ["a@1", "b@1"]
    assert lost["silent_voters"] == ["b@1"]
    assert again["event"] == "quorum-heard"
    assert again["without_s"] == 2.5
