"""Memory and processor time that a node needs."""

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

PROCESSOR_BOUND_CORES = 0.047
MEMORY_BOUND_MB = 256.0
HEARTBEAT_INTERVALS_MS = (250, 500, 1000)
ENDPOINT_COUNTS = (0, 600, 1200, 3000)
CALL_COUNTS = (0, 250, 500, 1000)
_IDLE_MEASUREMENT_S = 15.0
_MEMORY_SETTLE_S = 5.0
_ANNOUNCEMENT_INTERVAL_S = 0.5
_SLOTS = 2000
_CALL_REQUEST = (
    b"GET /x HTTP/1.1\r\nhost: bench\r\ncranberrymux-principal: bench\r\n\r\n"
)


class _Node(NamedTuple):
    """A node process whose backend server the benchmark announces.

    Attributes:
        process: The process of the node.
        ingress_port: TCP port on which the node accepts calls.
        announce_port: TCP port for announcements and the status.
        announcement: JSON body of the backend server's announcement.
    """

    process: process.Process
    ingress_port: int
    announce_port: int
    announcement: bytes

    def announce(self) -> None:
        """Announces the backend server once; ignores connection errors."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.announce_port}/v1/backend",
            self.announcement,
            method="PUT",
        )
        with contextlib.suppress(OSError):
            urllib.request.urlopen(request, timeout=1).close()

    def count_calls(self) -> int:
        """Returns the number of calls that run or are queued."""
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
        while not self._stopped.wait(_ANNOUNCEMENT_INTERVAL_S):
            for node in self._nodes:
                node.announce()

    def stop(self) -> None:
        self._stopped.set()
        self.join()


def measure() -> bool:
    """Measures processor time when idle, and memory by endpoints and calls.

    Returns:
        True if the bounds of processor time and memory hold.
    """
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        cluster = control_setup.ControlSetup(folder)
        backend_port = ports.find_free_ports(1)[0]
        backend = process.Process(
            "silent",
            "bench.capacity.silent_backend",
            [str(backend_port)],
            folder,
        )
        nodes: list[_Node] = []
        try:
            bounds_hold = _measure_idle(cluster, folder, backend_port, nodes)
            bounds_hold &= _measure_endpoint_memory(
                cluster, folder, backend_port, nodes
            )
            _measure_call_memory(nodes[0])
        finally:
            for node in nodes:
                node.process.kill()
            backend.kill()
            cluster.stop()
    return bounds_hold


def _start_node(
    cluster: control_setup.ControlSetup,
    folder: str,
    backend_port: int,
    node_id: str,
    heartbeat_ms: int,
    calls: list[str],
) -> _Node:
    ingress_port, egress_port, announce_port = ports.find_free_ports(3)
    path = cluster.deployment.write_settings(
        node_id,
        {
            "node_id": node_id,
            "region": "cascadia",
            "zone": "zone-0",
            "address": "127.0.0.1",
            "ingress_port": ingress_port,
            "egress_port": egress_port,
            "announce_port": announce_port,
            "control_addresses": [
                f"127.0.0.1:{port}" for port in cluster.ports
            ],
            "cluster_key_file": cluster.key_file,
            "heartbeat_ms": heartbeat_ms,
        },
    )
    node_process = process.Process(
        node_id, "cranberrymux.node", ["--settings", path], folder
    )
    announcement = {
        "service": f"own-{node_id}",
        "port": backend_port,
        "slots": _SLOTS,
        "calls": calls,
    }
    node = _Node(
        node_process,
        ingress_port,
        announce_port,
        json.dumps(announcement).encode(),
    )
    node_process.wait_for_event("node-ready")
    node.announce()
    node_process.wait_for_event("node-serving")
    return node


def _measure_idle(
    cluster: control_setup.ControlSetup,
    folder: str,
    backend_port: int,
    nodes: list[_Node],
) -> bool:
    for heartbeat_ms in HEARTBEAT_INTERVALS_MS:
        nodes.append(
            _start_node(
                cluster,
                folder,
                backend_port,
                f"idle-{heartbeat_ms}",
                heartbeat_ms,
                [],
            )
        )
    pids = [node.process.pid for node in nodes]
    announcer = _Announcer(nodes)
    announcer.start()
    time.sleep(1.0)
    started_s = time.perf_counter()
    before_s = [usage.read_processor_s(pid) for pid in pids]
    time.sleep(_IDLE_MEASUREMENT_S)
    after_s = [usage.read_processor_s(pid) for pid in pids]
    elapsed_s = time.perf_counter() - started_s
    announcer.stop()
    bounds_hold = True
    points = []
    for index, heartbeat_ms in enumerate(HEARTBEAT_INTERVALS_MS):
        cores = (after_s[index] - before_s[index]) / elapsed_s
        points.append((len(cluster.ports) * 1000 / heartbeat_ms, cores))
        bounds_hold &= figure.Figure(
            f"capacity.node.idle.heartbeat_{heartbeat_ms}_ms",
            round(cores, 5),
            "cores",
            PROCESSOR_BOUND_CORES
            if heartbeat_ms == HEARTBEAT_INTERVALS_MS[-1]
            else None,
        ).print()
    cost_us = usage.fit_slope(points) * 1e6
    figure.Figure(
        "capacity.node.cpu_per_heartbeat", round(cost_us, 1), "us"
    ).print()
    return bounds_hold


def _measure_endpoint_memory(
    cluster: control_setup.ControlSetup,
    folder: str,
    backend_port: int,
    nodes: list[_Node],
) -> bool:
    endpoint_announcer = heartbeats.EndpointAnnouncer(
        cluster.ports, cluster.key, ENDPOINT_COUNTS[-1]
    )
    endpoint_announcer.announce()
    endpoint_announcer.start()
    time.sleep(3.5)  # Until a lease has passed and directories are complete.
    table_nodes = []
    for count in ENDPOINT_COUNTS:
        services = heartbeats.make_service_names(count)
        node = _start_node(
            cluster, folder, backend_port, f"table-{count}", 1000, services
        )
        table_nodes.append(node)
        nodes.append(node)
    announcer = _Announcer(table_nodes)
    announcer.start()
    time.sleep(_MEMORY_SETTLE_S)
    points = []
    bounds_hold = True
    for count, node in zip(ENDPOINT_COUNTS, table_nodes, strict=True):
        memory_bytes = usage.read_memory_bytes(node.process.pid)
        points.append((float(count), float(memory_bytes)))
        bounds_hold &= figure.Figure(
            f"capacity.node.table_{count}.memory",
            round(memory_bytes / 1e6, 2),
            "MB",
            MEMORY_BOUND_MB,
        ).print()
    announcer.stop()
    endpoint_announcer.stop()
    slope = usage.fit_slope(points) / 1000
    figure.Figure(
        "capacity.node.memory_per_1000_endpoints", round(slope, 3), "MB"
    ).print()
    return bounds_hold


def _measure_call_memory(node: _Node) -> None:
    node.announce()
    connections: list[socket.socket] = []
    points = []
    try:
        for count in CALL_COUNTS:
            while len(connections) < count:
                connection = socket.create_connection(
                    ("127.0.0.1", node.ingress_port), 5.0
                )
                connection.sendall(_CALL_REQUEST)
                connections.append(connection)
            time.sleep(0.5)
            held_calls = node.count_calls()
            memory_bytes = usage.read_memory_bytes(node.process.pid)
            points.append((float(held_calls), float(memory_bytes)))
            figure.Figure(
                f"capacity.node.calls_sent_{count}.held",
                held_calls,
                "calls",
            ).print()
            figure.Figure(
                f"capacity.node.calls_sent_{count}.memory",
                round(memory_bytes / 1e6, 2),
                "MB",
            ).print()
    finally:
        for connection in connections:
            connection.close()
    slope = usage.fit_slope(points) / 1000
    figure.Figure(
        "capacity.node.memory_per_1000_calls", round(slope, 3), "MB"
    ).print()
