"""A configuration of ten thousand accounts at real control instances.

Guards against its refusal for its size, against an election or a leader
without its lease while it is replicated, and against a part or none of it after
all instances were killed.
"""

import json
import socket

import pytest

from cranberrymux.control import route_changes
from cranberrymux.platform import control_port
from tests.control import test_large_configuration
from tests.platform import fleet as fleet_module

wait_until = fleet_module.wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: len(fleet.voters()) == 3)
        yield fleet


def put_large(fleet, version, base, body):
    wait_until(
        lambda: any(
            instance.put(version, base, body=body) == 200
            for instance in fleet.instances
        )
    )


def count_elections(fleet):
    return sum(
        event["event"] == "role-changed"
        for instance in fleet.instances
        for event in instance.events()
    )


def test_is_accepted_without_an_election_and_kept_after_a_kill(fleet):
    body = test_large_configuration.make_random_body(2)
    before = count_elections(fleet)
    put_large(fleet, 2, 1, body)
    for instance in fleet.instances:
        wait_until(
            lambda instance=instance: (
                instance.call("GET", "/cranberrymux/config")[1] == body
            )
        )
    assert count_elections(fleet) == before
    for instance in fleet.instances:
        instance.kill()
    for instance in fleet.instances:
        instance.start()
    for instance in fleet.instances:
        wait_until(
            lambda instance=instance: (
                instance.call("GET", "/cranberrymux/config")[1] == body
            )
        )


def test_one_that_is_too_large_when_compressed_is_refused_as_such(fleet):
    """Guards against an operator who sends it again and again."""
    base = wait_until(fleet.instances[0].get)
    body = test_large_configuration.make_random_body(base + 1, 100_000)
    assert len(body) <= control_port.MAXIMUM_BODY_BYTES
    instance = fleet.instances[0]

    def find_answer():
        # A follower without contact answers 503, and so does a new cluster.
        status, answer = instance.call(
            "PUT", "/cranberrymux/config", body, {"If-Match": str(base)}
        )
        return answer if status == 413 else None

    detail = json.loads(wait_until(find_answer))["detail"]
    assert f"limit {route_changes.MAXIMUM_STORED_CHARACTERS}" in detail
    assert instance.get() == base


def test_body_that_is_too_large_is_refused_before_it_is_sent(fleet):
    instance = fleet.instances[0]
    size = control_port.MAXIMUM_BODY_BYTES + 1
    address = (instance.ip, fleet.control_port)
    with socket.create_connection(address, timeout=4.0) as connection:
        connection.sendall(
            b"PUT /cranberrymux/config HTTP/1.1\r\nHost: control\r\n"
            b"Content-Length: %d\r\n\r\n" % size
        )
        assert connection.recv(4096).startswith(b"HTTP/1.1 413 ")
