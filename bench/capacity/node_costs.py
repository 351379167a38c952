"""Costs of a node."""

from collections.abc import Sequence
import contextlib
import json
import socket
import tempfile
import threading
import time
from typing import NamedTuple
import urllib.request

from bench import figure
from bench.capacity import control_setup
from bench.capacity import heartbeats
from bench.capacity import usage
from cranberrymux.demo import ports
from cranberrymux.demo import process

PROCESSOR_BOUND = 0.047
MEMORY_BOUND_MB = 256.0
HEARTBEATS_MS = (250, 500, 1000)
TABLE = (0, 600, 1200, 3000)
CALLS = (0, 250, 500, 1000)
_IDLE_S = 15.0
_SETTLE_S = 5.0
_ANNOUNCE_S = 0.5
_SLOTS = 2000
_CALL = (
    b"GET /x HTTP/1.1\r\nhost: bench\r\ncranberrymux-principal: bench\r\n\r\n"
)


class _Node(NamedTuple):
    """A node whose backend server the bench announces.

    Attributes:
        process: The process.
        ingress_port: TCP port for calls.
        announce_port: TCP port for announcements.
        announcement: Body of the announcement.
    """

    process: process.Process
    ingress_port: int
    announce_port: int
    announcement: bytes

    def announce(self) -> None:
        """Announces the backend server."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.announce_port}/v1/backend",
            self.announcement,
            method="PUT",
        )
        with contextlib.suppress(OSError):
            urllib.request.urlopen(request, timeout=1).close()

    def count_calls(self) -> int:
        """Returns the calls that run or wait."""
        url = f"http://127.0.0.1:{self.announce_port}/v1/status"
        with urllib.request.urlopen(url, timeout=2) as answer:
            status = json.load(answer)
        return int(status["in_flight"] + status["queued"])


class _Announcer(threading.Thread):
    """Announces the nodes' backend servers until stopped."""

    def __init__(self, nodes: Sequence[_Node]) -> None:
        super().__init__(daemon=True)
        self._nodes = nodes
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(_ANNOUNCE_S):
            for one in self._nodes:
                one.announce()

    def stop(self) -> None:
        self._stopped.set()
        self.join()


def measure() -> bool:
    """Measures idle time, memory and calls; True if the bounds hold."""
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        setup = control_setup.ControlSetup(folder)
        port = ports.find_free_ports(1)[0]
        backend = process.Process(
            "silent", "bench.capacity.silent", [str(port)], folder
        )
        nodes: list[_Node] = []
        try:
            held = _measure_idle(setup, folder, port, nodes)
            held &= _measure_table(setup, folder, port, nodes)
            _measure_calls(nodes[0])
        finally:
            for one in nodes:
                one.process.kill()
            backend.kill()
            setup.stop()
    return held


def _start(
    setup: control_setup.ControlSetup,
    folder: str,
    backend_port: int,
    node_id: str,
    heartbeat_ms: int,
    calls: list[str],
) -> _Node:
    ingress, egress, announce = ports.find_free_ports(3)
    path = setup.deployment.write_settings(
        node_id,
        {
            "node_id": node_id,
            "region": "cascadia",
            "zone": "zone-0",
            "address": "127.0.0.1",
            "ingress_port": ingress,
            "egress_port": egress,
            "announce_port": announce,
            "control_addresses": [f"127.0.0.1:{one}" for one in setup.ports],
            "cluster_key_file": setup.key_file,
            "heartbeat_ms": heartbeat_ms,
        },
    )
    started = process.Process(
        node_id, "cranberrymux.node", ["--settings", path], folder
    )
    announcement = {
        "service": f"own-{node_id}",
        "port": backend_port,
        "slots": _SLOTS,
        "calls": calls,
    }
    node = _Node(started, ingress, announce, json.dumps(announcement).encode())
    started.wait_for_event("node-ready")
    node.announce()
    started.wait_for_event("node-serving")
    return node


def _measure_idle(
    setup: control_setup.ControlSetup,
    folder: str,
    port: int,
    nodes: list[_Node],
) -> bool:
    for beat_ms in HEARTBEATS_MS:
        nodes.append(
            _start(setup, folder, port, f"idle-{beat_ms}", beat_ms, [])
        )
    pids = [one.process.pid for one in nodes]
    announcer = _Announcer(nodes)
    announcer.start()
    time.sleep(1.0)
    started_s = time.perf_counter()
    before_s = [usage.read_processor_s(pid) for pid in pids]
    time.sleep(_IDLE_S)
    after_s = [usage.read_processor_s(pid) for pid in pids]
    seconds = time.perf_counter() - started_s
    announcer.stop()
    held = True
    points = []
    for place, beat_ms in enumerate(HEARTBEATS_MS):
        share = (after_s[place] - before_s[place]) / seconds
        points.append((len(setup.ports) * 1000 / beat_ms, share))
        held &= figure.Figure(
            f"capacity.node.idle.heartbeat_{beat_ms}_ms",
            round(share, 5),
            "cores",
            PROCESSOR_BOUND if beat_ms == HEARTBEATS_MS[-1] else None,
        ).print()
    cost_us = usage.fit_slope(points) * 1e6
    figure.Figure(
        "capacity.node.cpu_per_heartbeat", round(cost_us, 1), "us"
    ).print()
    return held


def _measure_table(
    setup: control_setup.ControlSetup,
    folder: str,
    port: int,
    nodes: list[_Node],
) -> bool:
    endpoints = heartbeats.Announcer(setup.ports, setup.key, TABLE[-1])
    endpoints.announce()
    endpoints.start()
    time.sleep(3.5)  # A lease, after which answers are whole.
    started = []
    for count in TABLE:
        names = heartbeats.make_service_names(count)
        node = _start(setup, folder, port, f"table-{count}", 1000, names)
        started.append(node)
        nodes.append(node)
    announcer = _Announcer(started)
    announcer.start()
    time.sleep(_SETTLE_S)
    points = []
    held = True
    for count, node in zip(TABLE, started, strict=True):
        memory = usage.read_memory_bytes(node.process.pid)
        points.append((float(count), float(memory)))
        held &= figure.Figure(
            f"capacity.node.table_{count}.memory",
            round(memory / 1e6, 2),
            "MB",
            MEMORY_BOUND_MB,
        ).print()
    announcer.stop()
    endpoints.stop()
    slope = usage.fit_slope(points) / 1000
    figure.Figure(
        "capacity.node.memory_per_1000_endpoints", round(slope, 3), "MB"
    ).print()
    return held


def _measure_calls(node: _Node) -> None:
    node.announce()
    sockets: list[socket.socket] = []
    points = []
    try:
        for count in CALLS:
            while len(sockets) < count:
                one = socket.create_connection(
                    ("127.0.0.1", node.ingress_port), 5.0
                )
                one.sendall(_CALL)
                sockets.append(one)
            time.sleep(0.5)
            seen = node.count_calls()
            memory = usage.read_memory_bytes(node.process.pid)
            points.append((float(seen), float(memory)))
            figure.Figure(
                f"capacity.node.calls_sent_{count}.held", seen, "calls"
            ).print()
            figure.Figure(
                f"capacity.node.calls_sent_{count}.memory",
                round(memory / 1e6, 2),
                "MB",
            ).print()
    finally:
        for one in sockets:
            one.close()
    slope = usage.fit_slope(points) / 1000
    figure.Figure(
        "capacity.node.memory_per_1000_calls", round(slope, 3), "MB"
    ).print()
