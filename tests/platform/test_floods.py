"""Bytes without end that are sent into the ports of real processes.

Guards against a process that keeps what it reads, or what a closed connection
has read, until the platform ends it for its memory.
"""

import http.client
import json
import time

import pytest

from cranberrymux.demo import ports
from tests.platform import fleet as fleet_module
from tests.platform import flood
from tests.soak import machine as machine_module

FLOOD_S = 3.0
CONNECTIONS = 10
MAXIMUM_MB = 100.0
VERSION = 3
SERVICE = "s2"  # Its backend servers make no calls.
NODE_FLOODS = [
    ("announce", "a head of one line"),
    ("announce", "many header lines"),
    ("announce", "chunks of one byte"),
    ("client", "a head of one line"),
    ("client", "a target"),
    ("client", "zeros"),
    ("client", "chunks of one byte"),
    ("client", "pipelined requests"),
    ("hop", "a head of one line"),
    ("hop", "many header lines"),
]
CONTROL_FLOODS = [
    "a head of one line",
    "many header lines",
    "an instance in large chunks",
    "a configuration in large chunks",
]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as fleet:
        fleet.put_until_accepted(VERSION, 0, service=SERVICE)
        yield fleet


@pytest.fixture(scope="module")
def machine(fleet, tmp_path_factory):
    machine = machine_module.Machine(
        tmp_path_factory.mktemp("machine"),
        fleet,
        1,
        SERVICE,
        ports.find_free_ports(5),
    )
    try:
        machine.start()
        fleet_module.wait_until(lambda: is_served(machine))
        yield machine
    finally:
        machine.close()


def is_served(machine):
    """Returns whether a proper request is answered with 200."""
    connection = http.client.HTTPConnection(
        *machine.outbound_address, timeout=4.0
    )
    try:
        headers = {
            "Host": "h.example",
            "Request-Id": f"n{time.monotonic_ns()}",
            "Deadline-Ms": "4000",
        }
        connection.request("GET", "/a/x", headers=headers)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def measure_peak_mb(process_id, address, kind):
    flood.reset_peak(process_id)
    flooding = flood.Flood(address, kind, CONNECTIONS)
    time.sleep(FLOOD_S)
    flooding.stop()
    peak_mb = flood.read_peak_mb(process_id)
    print(
        json.dumps(
            {
                "kind": kind,
                "peak_mb": round(peak_mb),
                "connections": flooding.connections,
                "sent_mb": flooding.sent_bytes >> 20,
            }
        )
    )
    return peak_mb


@pytest.mark.parametrize(("port", "kind"), NODE_FLOODS)
def test_a_flood_into_a_node_takes_little_memory(machine, port, kind):
    address = {
        "announce": machine.announce_address,
        "client": machine.outbound_address,
        "hop": machine.hop_address,
    }[port]
    process_id = machine.node.process_id
    assert measure_peak_mb(process_id, address, kind) < MAXIMUM_MB
    fleet_module.wait_until(lambda: is_served(machine))


@pytest.mark.parametrize("kind", CONTROL_FLOODS)
def test_a_flood_into_a_control_instance_takes_little_memory(fleet, kind):
    instance = fleet.instances[0]
    address = (instance.ip, fleet.control_port)
    process_id = instance.process.pid
    assert measure_peak_mb(process_id, address, kind) < MAXIMUM_MB
    fleet_module.wait_until(lambda: instance.get() == VERSION)
