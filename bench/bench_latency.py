"""Latency that one node and two nodes on the path add to a call."""

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
CONNECTIONS = (1, 50, 400)
WARM_UP_CALLS = 300
CALLS = 3000
RATE_PER_S = 600.0
ANSWER_BYTES = (256, 16384, 262144)
_ANNOUNCE_S = 0.5


class _Announcer(threading.Thread):
    """Announces the echo backend servers to their nodes."""

    def __init__(self, announcements: list[tuple[int, bytes]]) -> None:
        super().__init__(daemon=True)
        self._announcements = announcements
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(_ANNOUNCE_S):
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
    """Measures and prints the figures; returns True if the bounds hold."""
    held = True
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        for size in ANSWER_BYTES:
            held = _run_size(f"{folder}/{size}", size) and held
    return held


def _run_size(folder: str, size: int) -> bool:
    os.mkdir(folder)
    setup = deployment.Deployment(folder)
    backend_port, caller_port = ports.find_free_ports(2)
    echo = process.Process(
        "echo", "bench.latency.echo", [str(backend_port), str(size)], folder
    )
    announcer = None
    try:
        setup.start_control_instances()
        leaf = setup.start_node("leaf", 0, "zone-0")
        caller = setup.start_node("caller", 0, "zone-0")
        announcer = _Announcer(
            [
                (leaf.announce_port, _announce("leaf", backend_port, [])),
                (
                    caller.announce_port,
                    _announce("caller", caller_port, ["leaf"]),
                ),
            ]
        )
        for one in (leaf, caller):
            one.node.wait_for_event("node-ready")
        announcer.announce()
        announcer.start()
        for one in (leaf, caller):
            one.node.wait_for_event("node-serving")
        paths = (
            path.Path("direct", backend_port, _request("")),
            path.Path("one-node", leaf.ingress_port, _request("")),
            path.Path(
                "two-nodes",
                caller.egress_port,
                _request("cranberrymux-service: leaf\r\n"),
            ),
        )
        _wait_until_routed(paths[2])
        pids = (leaf.node.pid, caller.node.pid)
        counts = CONNECTIONS if size == ANSWER_BYTES[0] else CONNECTIONS[:1]
        held = True
        for count in counts:
            held = _measure(paths, count, size, pids) and held
        return held
    finally:
        if announcer is not None:
            announcer.stop()
        echo.kill()
        setup.stop()


def _measure(
    paths: tuple[path.Path, ...],
    connections: int,
    size: int,
    pids: tuple[int, int],
) -> bool:
    one = client.Client(paths, connections)
    try:
        one.run(RATE_PER_S, WARM_UP_CALLS)
        before_s = [_processor_s(pid) for pid in pids]
        latencies = one.run(RATE_PER_S, CALLS)
        after_s = [_processor_s(pid) for pid in pids]
    finally:
        one.close()
    name = f"latency.{size}-bytes.{connections}-connections"
    direct = latencies[0]
    held = True
    for where, values in zip(paths, latencies, strict=True):
        for label, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
            value_ms = _quantile(values, share) * 1000
            figure.Figure(
                f"{name}.{where.name}.{label}", round(value_ms, 4), "ms"
            ).print()
            if where.name == "direct":
                continue
            added_ms = value_ms - _quantile(direct, share) * 1000
            bound = ADDED_BOUND_MS if label == "p99" else None
            added = figure.Figure(
                f"{name}.{where.name}.added.{label}",
                round(added_ms, 4),
                "ms",
                bound,
            )
            held = added.print() and held
    for label, start_s, end_s, calls in (
        ("ingress", before_s[0], after_s[0], 2 * CALLS),
        ("egress", before_s[1], after_s[1], CALLS),
    ):
        cost_us = (end_s - start_s) / calls * 1e6
        figure.Figure(
            f"{name}.{label}.cpu", round(cost_us, 1), "us/call"
        ).print()
    return held


def _quantile(values: list[float], share: float) -> float:
    return values[min(int(len(values) * share), len(values) - 1)]


def _processor_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _announce(service: str, port: int, calls: list[str]) -> bytes:
    return json.dumps(
        {"service": service, "port": port, "slots": 1000, "calls": calls}
    ).encode()


def _request(extra: str) -> bytes:
    return (
        f"GET /x HTTP/1.1\r\nhost: bench\r\n{extra}"
        "cranberrymux-principal: bench\r\n\r\n"
    ).encode()


def _wait_until_routed(where: path.Path) -> None:
    for _ in range(200):
        probe = client.Client((where,), 1)
        try:
            probe.run(20.0, 1)
            return
        except RuntimeError:
            continue
        finally:
            probe.close()
    raise RuntimeError("the caller's node knows no endpoint")


if __name__ == "__main__":
    sys.exit(0 if run() else 1)
