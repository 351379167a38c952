"""Heartbeats that do not repeat the endpoint of their node.

Guards against an endpoint whose lease ends, or that is never announced again,
because its heartbeats no longer name it.
"""

import pytest

from cranberrymux.control import announced_endpoints
from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.models import endpoint_state
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls

LEASE_S = 3.0


class Instance:
    """What a control instance does with the endpoints of heartbeats."""

    def __init__(self):
        self.announced = announced_endpoints.AnnouncedEndpoints()
        self.table = endpoint_table.EndpointTable(LEASE_S, 60.0, 0.0)

    def heartbeat(self, now_s, *endpoints, is_same=None, incarnation=1):
        records = self.announced.read(
            calls.make_heartbeat(
                incarnation=incarnation,
                endpoints=list(endpoints),
                has_same_endpoints=is_same,
            )
        )
        for record in records or ():
            self.table.announce(record, now_s)
        return records is not None

    def run(self, from_s, until_s):
        """Lets time pass; returns the ids of endpoints whose lease ended."""
        ended = []
        while from_s < until_s:
            from_s += 0.5
            ended += [record.endpoint_id for record in self.table.tick(from_s)]
        return ended


def get_state(instance):
    return instance.table.find("n1").state


def test_heartbeats_without_the_endpoint_renew_its_lease():
    instance = Instance()
    assert instance.heartbeat(0.0, calls.make_endpoint("n1", 1))
    for number in range(20):
        assert instance.run(float(number), number + 1.0) == []
        assert instance.heartbeat(number + 1.0, is_same=True)


def test_endpoint_whose_lease_has_ended_comes_back():
    instance = Instance()
    instance.heartbeat(0.0, calls.make_endpoint("n1", 1))
    assert instance.run(0.0, 8.0) == ["n1"]
    assert instance.heartbeat(8.0, is_same=True)
    assert get_state(instance) is endpoint_state.EndpointState.SERVING


def test_instance_that_has_started_or_sees_another_process_asks_for_all():
    instance = Instance()
    assert not instance.heartbeat(0.0, is_same=True)
    instance.heartbeat(0.0, calls.make_endpoint("n1", 1))
    assert not instance.heartbeat(1.0, is_same=True, incarnation=2)
    instance.announced.remove(["n1"])
    assert not instance.heartbeat(1.0, is_same=True)


def test_late_heartbeat_of_an_earlier_connection_replaces_nothing():
    instance = Instance()
    older = calls.make_endpoint("n1", 1, sequence=1)
    instance.heartbeat(0.0, calls.make_endpoint("n1", 1, sequence=2))
    instance.heartbeat(0.1, older)
    for number in range(8):
        assert instance.heartbeat(float(number), is_same=True)
        assert instance.run(float(number), number + 1.0) == []


def test_record_that_is_not_valid_is_refused():
    instance = Instance()
    broken = calls.make_endpoint("n1", 1)
    broken.port = None
    with pytest.raises(ttypes.Refused):
        instance.heartbeat(0.0, broken)
