"""A real node whose logs nobody reads, under a flood of refusals."""

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
# A refusal takes no work; nothing here may wait for a reader.
LONGEST_S = 1.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as made:
        made.put_until_accepted(3, 0)
        yield made


def start(fleet, folder, place, output):
    numbers = ports.find_free_ports(5)
    machine = machine_module.Machine(folder, fleet, place, "s1", numbers)
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
    connection = http.client.HTTPConnection(*machine.entry, timeout=5.0)
    headers = {
        "Host": "h.example",
        "Request-Id": f"q{number}",
        "Deadline-Ms": "2000",
    }
    began_s = time.monotonic()
    connection.request("GET", path, headers=headers)
    status = connection.getresponse().status
    connection.close()
    return status, time.monotonic() - began_s


def flood(machine):
    """Times of requests that are refused: no endpoint has announced itself."""

    def is_configured():
        try:
            return ask(machine, "/other/x", 0)[0] == 404
        except OSError:
            return False

    fleet_module.wait_until(is_configured)
    times = []
    for number in range(REQUESTS):
        status, took_s = ask(machine, "/a/x", number)
        assert status == 503
        times.append(took_s)
    return sorted(times)


def test_a_reader_that_stops_reading_costs_lines_and_nothing_else(
    fleet, tmp_path
):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    filler = b'{"event": "filler"}\n'
    while True:  # Full from the start, so that every line of it is lost.
        try:
            os.write(write_end, filler)
        except BlockingIOError:
            break
    blocked, blocked_process = start(fleet, tmp_path, 1, write_end)
    free, free_process = start(fleet, tmp_path, 2, subprocess.DEVNULL)
    try:
        with_reader = flood(free)
        without_reader = flood(blocked)
        os.close(write_end)
        os.read(read_end, PIPE_BYTES)
        ask(blocked, "/a/x", REQUESTS)
        blocked_process.terminate()
        with os.fdopen(read_end, "rb") as rest:
            lines = rest.read().splitlines()
    finally:
        for one in (blocked_process, free_process):
            one.kill()
            one.wait()
        blocked.close()
        free.close()
    middle = REQUESTS // 2
    last = REQUESTS * 99 // 100
    print(
        "p50, p99 ms with a reader:",
        round(with_reader[middle] * 1000, 2),
        round(with_reader[last] * 1000, 2),
        "blocked:",
        round(without_reader[middle] * 1000, 2),
        round(without_reader[last] * 1000, 2),
    )
    assert without_reader[-1] < LONGEST_S
    told = [json.loads(one) for one in lines if one.startswith(b"{")]
    lost = [one["count"] for one in told if one["event"] == "lines-lost"]
    assert sum(lost) > 100
