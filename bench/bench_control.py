"""Measures a cluster of control instances as processes on one host.

All times are wall-clock times. The bounds are the stated targets: 2 s from the
acceptance of a change until it is in force on every node, 3 KB of heartbeats
per second and node, 4.7% of a core, 3 s to elect a leader.
"""

import importlib
import os
import pathlib
import tempfile
import time
from typing import Any

from bench import figure
from bench.control import fake_nodes
from bench.control import frames
from cranberrymux.wire.gen.messages import ttypes

_cluster: Any = importlib.import_module("tests.control.cluster")
_checks: Any = importlib.import_module("tests.control.checks")
_schedules: Any = importlib.import_module("tests.decisions.claims.schedules")

CLAIM_COUNT = 2000
CLAIM_WINDOWS = (1, 16, 128)
INSTANCE_COUNTS = (1, 3, 5)
CHANGE_COUNT = 200
NODE_COUNTS = (10, 50, 200)
ELECTION_COUNT = 5
CATCH_UP_CLAIM_COUNTS = (1000, 9000, 30_000)
IN_FORCE_BOUND_S = 2.0
ELECTION_BOUND_S = 3.0
NODE_BOUND_BYTES_PER_S = 3000.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_serials = iter(range(1 << 40))


def run() -> bool:
    """Measures clusters of each size; returns True if all bounds hold."""
    bounds_hold = True
    for count in INSTANCE_COUNTS:
        with (
            tempfile.TemporaryDirectory() as folder,
            _cluster.Cluster(folder, count) as cluster,
        ):
            _wait_until_all_vote(cluster, count)
            _measure_claims(cluster, count)
            _measure_changes(cluster, count)
            if count == 3:
                bounds_hold = _measure_three_instances(cluster) and bounds_hold
    return bounds_hold


def _measure_three_instances(cluster: Any) -> bool:
    bounds_hold = True
    for count in NODE_COUNTS:
        bounds_hold = (
            _measure_change_propagation(cluster, count) and bounds_hold
        )
    bounds_hold = _measure_elections(cluster) and bounds_hold
    for count in CATCH_UP_CLAIM_COUNTS:
        _measure_catch_up(cluster, count)
    return bounds_hold


def _wait_until_all_vote(cluster: Any, count: int) -> None:
    def are_voters() -> bool:
        leader = cluster.leader()
        status = leader.status() if leader else None
        members = status["log"]["members"] if status else []
        return bool(sum(member["voter"] for member in members) == count)

    _cluster.wait_until(are_voters, 20.0)


def _make_claims(count: int) -> list[bytes]:
    now_ms = int(time.time() * 1000)
    claims = []
    for call_number in range(count):
        serial = next(_serials)
        claim = ttypes.ClaimRequest(
            request_id=_schedules.uuid7(now_ms, serial),
            call_id="1",
            body_digest="0" * 64,
            owner="node-1",
            owner_incarnation=1,
            principal="dispatcher-1",
            claim_id=f"{serial:032x}",
        )
        claims.append(
            frames.encode_call(
                "claim", _cluster.CLUSTER_KEY, claim, call_number
            )
        )
    return claims


def _measure_claims(cluster: Any, count: int) -> None:
    port = cluster.wait_for_leader().port
    frames.run_pipelined(port, "claim", _make_claims(200), 16)
    for window in CLAIM_WINDOWS:
        claim_count = CLAIM_COUNT if window > 1 else CLAIM_COUNT // 4
        elapsed_s, latencies_s, answers = frames.run_pipelined(
            port, "claim", _make_claims(claim_count), window
        )
        assert all(answer.verdict == 1 for answer in answers)
        name = f"control.claims.instances_{count}.window_{window}"
        figure.Figure(f"{name}.rate", claim_count / elapsed_s, "1/s").print()
        for percent in (50, 99):
            latency_ms = _percentile(latencies_s, percent) * 1000
            figure.Figure(f"{name}.p{percent}", latency_ms, "ms").print()


def _measure_changes(cluster: Any, count: int) -> None:
    leader = cluster.wait_for_leader()
    base = leader.status()["configuration_version"]
    started_s = time.perf_counter()
    for number in range(CHANGE_COUNT):
        answer = leader.change(f"bench-{next(_serials)}", base + number)
        assert answer.status == 200
    changes_per_s = CHANGE_COUNT / (time.perf_counter() - started_s)
    name = f"control.changes.instances_{count}.one_after_the_other"
    figure.Figure(name, changes_per_s, "1/s").print()


def _measure_change_propagation(cluster: Any, count: int) -> bool:
    ports = [instance.port for instance in cluster.instances]
    nodes = fake_nodes.FakeNodes(ports, _cluster.CLUSTER_KEY, count)
    nodes.start()
    leader = cluster.wait_for_leader()
    durations_s = []
    for _ in range(3):
        version = leader.status()["configuration_version"] + 1
        answer = leader.change(f"bench-{next(_serials)}", version - 1)
        assert answer.status == 200
        started_s = time.perf_counter()
        _cluster.wait_until(
            lambda version=version: nodes.oldest_version >= version
        )
        durations_s.append(time.perf_counter() - started_s)
    before = _read_totals(cluster, nodes)
    time.sleep(3.0)
    after = _read_totals(cluster, nodes)
    nodes.stop()
    elapsed_s = after[0] - before[0]
    node_seconds = count * elapsed_s
    name = f"control.nodes_{count}"
    bounds_hold = figure.Figure(
        f"{name}.in_force", max(durations_s), "s", IN_FORCE_BOUND_S
    ).print()
    bounds_hold &= figure.Figure(
        f"{name}.bytes_per_node",
        (after[1] - before[1]) / node_seconds,
        "bytes/s",
        NODE_BOUND_BYTES_PER_S,
    ).print()
    figure.Figure(
        f"{name}.control_processor_time",
        (after[2] - before[2]) / len(ports) / elapsed_s * 100,
        "% of a core per instance",
    ).print()
    return bounds_hold


def _read_totals(
    cluster: Any, nodes: fake_nodes.FakeNodes
) -> tuple[float, int, float]:
    processor_s = sum(
        _read_processor_s(instance.process.pid)
        for instance in cluster.instances
    )
    return time.perf_counter(), nodes.transferred_bytes, processor_s


def _read_processor_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _measure_elections(cluster: Any) -> bool:
    durations_s = []
    for _ in range(ELECTION_COUNT):
        leader = cluster.wait_for_leader()
        others = [
            instance for instance in cluster.instances if instance is not leader
        ]
        leader.kill()
        started_s = time.perf_counter()
        cluster.wait_for_leader(others)
        durations_s.append(time.perf_counter() - started_s)
        leader.start()
        _checks.wait_for_voters(cluster)
    longest = figure.Figure(
        "control.elect.longest", max(durations_s), "s", ELECTION_BOUND_S
    )
    return longest.print()


def _measure_catch_up(cluster: Any, count: int) -> None:
    leader = cluster.wait_for_leader()
    stopped = next(
        instance for instance in cluster.instances if instance is not leader
    )
    stopped.kill()
    frames.run_pipelined(leader.port, "claim", _make_claims(count), 128)
    started_s = time.perf_counter()
    stopped.start()
    _cluster.wait_until(
        lambda: (stopped.status() or {"vouched_ms": 0})["vouched_ms"] > 0, 60.0
    )
    elapsed_s = time.perf_counter() - started_s
    name = f"control.catch_up.claims_{count}"
    figure.Figure(f"{name}.with_start", elapsed_s, "s").print()


def _percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
