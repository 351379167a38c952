"""Latency that one or two nodes on the path add to a call.

Requests go directly to a backend server, through its node, and through the
caller's and the backend server's node. The added latency is the difference of
the same quantile of two paths.
"""

import contextlib
import json
import os
import sys
import tempfile
import threading
import urllib.request

from bench import figure
from bench.latency import client
from bench.latency import path
from cranberrymux.demo import deployment
from cranberrymux.demo import ports
from cranberrymux.demo import process

ADDED_BOUND_MS = 0.31
CONNECTION_COUNTS = (1, 50, 400)
WARM_UP_CALLS_PER_PATH = 300
CALLS_PER_PATH = 3000
RATE_PER_S = 600.0
ANSWER_BYTES = (256, 16384, 262144)
_ANNOUNCEMENT_INTERVAL_S = 0.5


class _Announcer(threading.Thread):
    """Announces backend servers to their nodes until stopped."""

    def __init__(self, announcements: list[tuple[int, bytes]]) -> None:
        super().__init__(daemon=True)
        self._announcements = announcements
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(_ANNOUNCEMENT_INTERVAL_S):
            self.announce()

    def announce(self) -> None:
        for port, body in self._announcements:
            request = urllib.request.Request(
                f"http://127.0.0.1:{port}/v1/backend", body, method="PUT"
            )
            with contextlib.suppress(OSError):
                urllib.request.urlopen(request, timeout=1).close()

    def stop(self) -> None:
        self._stopped.set()


def run() -> bool:
    """Measures each size of answer; returns True if all bounds hold."""
    bounds_hold = True
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        for answer_bytes in ANSWER_BYTES:
            bounds_hold = (
                _measure_size(f"{folder}/{answer_bytes}", answer_bytes)
                and bounds_hold
            )
    return bounds_hold


def _measure_size(folder: str, answer_bytes: int) -> bool:
    os.mkdir(folder)
    processes = deployment.Deployment(folder)
    backend_port, caller_backend_port = ports.find_free_ports(2)
    backend = process.Process(
        "echo",
        "bench.latency.fixed_answer_backend",
        [str(backend_port), str(answer_bytes)],
        folder,
    )
    announcer = None
    try:
        processes.start_control_instances()
        leaf = processes.start_node("leaf", 0, "zone-0")
        caller = processes.start_node("caller", 0, "zone-0")
        announcer = _Announcer(
            [
                (
                    leaf.announce_port,
                    _encode_announcement("leaf", backend_port, []),
                ),
                (
                    caller.announce_port,
                    _encode_announcement(
                        "caller", caller_backend_port, ["leaf"]
                    ),
                ),
            ]
        )
        for endpoint in (leaf, caller):
            endpoint.node.wait_for_event("node-ready")
        announcer.announce()
        announcer.start()
        for endpoint in (leaf, caller):
            endpoint.node.wait_for_event("node-serving")
        paths = (
            path.Path("direct", backend_port, _encode_request("")),
            path.Path("one-node", leaf.ingress_port, _encode_request("")),
            path.Path(
                "two-nodes",
                caller.egress_port,
                _encode_request("cranberrymux-service: leaf\r\n"),
            ),
        )
        _wait_until_routed(paths[2])
        pids = (leaf.node.pid, caller.node.pid)
        connection_counts = (
            CONNECTION_COUNTS
            if answer_bytes == ANSWER_BYTES[0]
            else CONNECTION_COUNTS[:1]
        )
        bounds_hold = True
        for count in connection_counts:
            bounds_hold = (
                _measure_paths(paths, count, answer_bytes, pids) and bounds_hold
            )
        return bounds_hold
    finally:
        if announcer is not None:
            announcer.stop()
        backend.kill()
        processes.stop()


def _measure_paths(
    paths: tuple[path.Path, ...],
    connections: int,
    answer_bytes: int,
    pids: tuple[int, int],
) -> bool:
    load_client = client.Client(paths, connections)
    try:
        load_client.run(RATE_PER_S, WARM_UP_CALLS_PER_PATH)
        before_s = [_read_processor_s(pid) for pid in pids]
        latencies_s = load_client.run(RATE_PER_S, CALLS_PER_PATH)
        after_s = [_read_processor_s(pid) for pid in pids]
    finally:
        load_client.close()
    name = f"latency.{answer_bytes}-bytes.{connections}-connections"
    direct_s = latencies_s[0]
    bounds_hold = True
    for measured_path, path_latencies_s in zip(paths, latencies_s, strict=True):
        for label, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
            latency_ms = _quantile(path_latencies_s, share) * 1000
            figure.Figure(
                f"{name}.{measured_path.name}.{label}",
                round(latency_ms, 4),
                "ms",
            ).print()
            if measured_path.name == "direct":
                continue
            added_ms = latency_ms - _quantile(direct_s, share) * 1000
            bound = ADDED_BOUND_MS if label == "p99" else None
            added = figure.Figure(
                f"{name}.{measured_path.name}.added.{label}",
                round(added_ms, 4),
                "ms",
                bound,
            )
            bounds_hold = added.print() and bounds_hold
    for label, start_s, end_s, calls in (
        ("ingress", before_s[0], after_s[0], 2 * CALLS_PER_PATH),
        ("egress", before_s[1], after_s[1], CALLS_PER_PATH),
    ):
        cost_us = (end_s - start_s) / calls * 1e6
        figure.Figure(
            f"{name}.{label}.cpu", round(cost_us, 1), "us/call"
        ).print()
    return bounds_hold


def _quantile(values: list[float], share: float) -> float:
    return values[min(int(len(values) * share), len(values) - 1)]


def _read_processor_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _encode_announcement(service: str, port: int, calls: list[str]) -> bytes:
    return json.dumps(
        {"service": service, "port": port, "slots": 1000, "calls": calls}
    ).encode()


def _encode_request(extra_headers: str) -> bytes:
    return (
        f"GET /x HTTP/1.1\r\nhost: bench\r\n{extra_headers}"
        "cranberrymux-principal: bench\r\n\r\n"
    ).encode()


def _wait_until_routed(routed_path: path.Path) -> None:
    for _ in range(200):
        probe = client.Client((routed_path,), 1)
        try:
            probe.run(20.0, 1)
            return
        except RuntimeError:
            continue
        finally:
            probe.close()
    raise RuntimeError(
        "the caller's node routed none of 200 requests to service leaf"
    )


if __name__ == "__main__":
    sys.exit(0 if run() else 1)
