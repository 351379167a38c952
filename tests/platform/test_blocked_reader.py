"""A node whose log pipe is full, under many requests that it refuses.

Guards against requests that wait for the reader of the log: if the node wrote
its lines synchronously, a reader that stops would block the event loop as soon
as the pipe is full.
"""

import http.client
import json
import os
import subprocess
import sys
import time

import pytest

from cranberrymux.demo import ports
from tests.platform import fleet as fleet_module
from tests.soak import machine as machine_module

REQUESTS = 1500
PIPE_BYTES = 65_536
# A refusal needs no backend server, so only a blocked log could delay it.
LONGEST_S = 1.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as fleet:
        fleet.put_until_accepted(3, 0)
        yield fleet


def start(fleet, folder, place, output):
    node_ports = ports.find_free_ports(5)
    machine = machine_module.Machine(folder, fleet, place, "s1", node_ports)
    process = subprocess.Popen(
        [sys.executable, "-m", "cranberrymux.platform.node_main"],
        stdout=output,
        stderr=subprocess.DEVNULL,
        env={
            **os.environ,
            "CRANBERRYMUX_SETTINGS": str(folder / f"{machine.name}.toml"),
        },
    )
    return machine, process


def ask(machine, path, number):
    connection = http.client.HTTPConnection(
        *machine.outbound_address, timeout=5.0
    )
    headers = {
        "Host": "h.example",
        "Request-Id": f"q{number}",
        "Deadline-Ms": "2000",
    }
    started_at_s = time.monotonic()
    connection.request("GET", path, headers=headers)
    status = connection.getresponse().status
    connection.close()
    return status, time.monotonic() - started_at_s


def measure_refusals(machine):
    """Returns sorted response times of requests without any endpoint."""

    def is_configured():
        try:
            return ask(machine, "/other/x", 0)[0] == 404
        except OSError:
            return False

    fleet_module.wait_until(is_configured)
    response_times_s = []
    for number in range(REQUESTS):
        status, elapsed_s = ask(machine, "/a/x", number)
        assert status == 503
        response_times_s.append(elapsed_s)
    return sorted(response_times_s)


def test_blocked_log_reader_loses_lines_but_delays_no_request(fleet, tmp_path):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    filler = b'{"event": "filler"}\n'
    while True:  # A full pipe from the start loses every line.
        try:
            os.write(write_end, filler)
        except BlockingIOError:
            break
    blocked, blocked_process = start(fleet, tmp_path, 1, write_end)
    free, free_process = start(fleet, tmp_path, 2, subprocess.DEVNULL)
    try:
        with_reader_s = measure_refusals(free)
        without_reader_s = measure_refusals(blocked)
        os.close(write_end)
        os.read(read_end, PIPE_BYTES)
        ask(blocked, "/a/x", REQUESTS)
        blocked_process.terminate()
        with os.fdopen(read_end, "rb") as log:
            lines = log.read().splitlines()
    finally:
        for process in (blocked_process, free_process):
            process.kill()
            process.wait()
        blocked.close()
        free.close()
    median = REQUESTS // 2
    p99 = REQUESTS * 99 // 100
    print(
        "p50, p99 ms with a reader:",
        round(with_reader_s[median] * 1000, 2),
        round(with_reader_s[p99] * 1000, 2),
        "blocked:",
        round(without_reader_s[median] * 1000, 2),
        round(without_reader_s[p99] * 1000, 2),
    )
    assert without_reader_s[-1] < LONGEST_S
    events = [json.loads(line) for line in lines if line.startswith(b"{")]
    lost_counts = [
        event["count"] for event in events if event["event"] == "lines-lost"
    ]
    assert sum(lost_counts) > 100
