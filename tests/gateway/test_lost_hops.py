"""What a node keeps of the requests that were lost with other nodes.

Guards against memory and processor time that grow with the square of the
requests that a cut or a loss of power ends at once.
"""

import pytest
from twisted.internet import task

from cranberrymux.gateway import lost_hops
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

ENDPOINTS = 20
LOSSES = 400


class Clock:
    def __init__(self):
        self._reactor = task.Clock()
        self.now_s = self._reactor.seconds
        self.advance = self._reactor.advance


class Recorder:
    def __init__(self):
        self.events = []

    def record_unseen_death(self, fingerprint, event_id):
        self.events.append((fingerprint.digest, event_id))


class CountedRecord(endpoint_record.EndpointRecord):
    """Counts how often its process is compared."""

    compared = 0

    @property
    def process(self):
        CountedRecord.compared += 1
        return super().process


def make_record(number, start=1, **changes):
    record = CountedRecord(
        service="s",
        endpoint_id=f"n-{number}",
        incarnation=start,
        sequence=1,
        address="10.0.0.1",
        port=80,
        region="r",
        zone="z",
        labels={},
        slots=8,
        state=endpoint_state.EndpointState.SERVING,
        backend_id=f"b-{number}",
        backend_started_ms=start,
    )
    return record._replace(**changes)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def hops(clock, recorder):
    return lost_hops.LostHops(clock, recorder)


# Guards against a directory of many endpoints compared with every lost request.
def test_only_requests_to_the_same_endpoint_are_compared(hops):
    for number in range(LOSSES):
        hops.add(f"digest-{number}", make_record(number % ENDPOINTS))
    CountedRecord.compared = 0
    hops.endpoints_changed([make_record(n) for n in range(ENDPOINTS)])
    assert CountedRecord.compared <= LOSSES


# Guards against a death that is reported once for each resend.
def test_one_death_under_a_request_that_was_lost_often_is_reported_once(
    hops, recorder
):
    for _ in range(LOSSES):
        hops.add("digest", make_record(1))
    hops.endpoints_changed([make_record(1, start=2)])
    assert recorder.events == [("digest", "n-1#1#b-1@1")]


# Guards against losses at endpoints that are gone and are kept for good.
def test_old_losses_are_forgotten_though_their_endpoint_is_gone(
    hops, clock, recorder
):
    hops.add("digest", make_record(1))
    clock.advance(lost_hops.UNEXPLAINED_S + 1)
    hops.endpoints_changed([make_record(2)])
    hops.endpoints_changed([make_record(1, start=2)])
    assert recorder.events == []
    assert not hops._lost


# Guards against a death that nobody counts: the node of the endpoint could not
# explain it yet when it got SIGTERM, and drained.
def test_a_node_that_stops_later_leaves_a_death_unexplained(hops, recorder):
    draining = endpoint_state.EndpointState.DRAINING
    hops.add("digest", make_record(1))
    hops.endpoints_changed([make_record(1, state=draining)])
    hops.endpoints_changed([make_record(1, start=2)])
    assert recorder.events == [("digest", "n-1#1#b-1@1")]


def test_a_request_lost_where_the_endpoint_drains_is_no_death(hops, recorder):
    draining = endpoint_state.EndpointState.DRAINING
    hops.add("digest", make_record(1), is_draining=True)
    hops.endpoints_changed([make_record(1, state=draining)])
    hops.endpoints_changed([make_record(1, start=2)])
    assert recorder.events == []
