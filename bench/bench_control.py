"""Measures the control instances as real processes on one machine.

Wall-clock figures. Bounds are stated targets: 2 s from accepted to in force,
3 KB a second for a node, 4.7% of a core, 3 s to elect.
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

CLAIMS = 2000
WINDOWS = (1, 16, 128)
INSTANCES = (1, 3, 5)
CHANGES = 200
NODES = (10, 50, 200)
ELECTIONS = 5
CATCH_UP_CLAIMS = (1000, 9000, 30_000)
IN_FORCE_BOUND_S = 2.0
ELECT_BOUND_S = 3.0
NODE_BOUND_BYTES_PER_S = 3000.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_serial = iter(range(1 << 40))


def run() -> bool:
    """Runs every measurement; True if all bounds hold."""
    held = True
    for count in INSTANCES:
        with (
            tempfile.TemporaryDirectory() as folder,
            _cluster.Cluster(folder, count) as cluster,
        ):
            _wait_for_voters(cluster, count)
            _measure_claims(cluster, count)
            _measure_changes(cluster, count)
            if count == 3:
                held = _measure_three(cluster) and held
    return held


def _measure_three(cluster: Any) -> bool:
    held = True
    for count in NODES:
        held = _measure_spread(cluster, count) and held
    held = _measure_elections(cluster) and held
    for count in CATCH_UP_CLAIMS:
        _measure_catch_up(cluster, count)
    return held


def _wait_for_voters(cluster: Any, count: int) -> None:
    def are_voters() -> bool:
        leader = cluster.leader()
        status = leader.status() if leader else None
        members = status["log"]["members"] if status else []
        return bool(sum(one["voter"] for one in members) == count)

    _cluster.wait_until(are_voters, 20.0)


def _make_claims(count: int) -> list[bytes]:
    now_ms = int(time.time() * 1000)
    claims = []
    for number in range(count):
        serial = next(_serial)
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
            frames.encode_call("claim", _cluster.CLUSTER_KEY, claim, number)
        )
    return claims


def _measure_claims(cluster: Any, count: int) -> None:
    port = cluster.wait_for_leader().port
    frames.run_pipelined(port, "claim", _make_claims(200), 16)
    for window in WINDOWS:
        calls = CLAIMS if window > 1 else CLAIMS // 4
        seconds, latencies_s, answers = frames.run_pipelined(
            port, "claim", _make_claims(calls), window
        )
        assert all(one.verdict == 1 for one in answers)
        name = f"control.claims.instances_{count}.window_{window}"
        figure.Figure(f"{name}.rate", calls / seconds, "1/s").print()
        for percent in (50, 99):
            value = _percentile(latencies_s, percent) * 1000
            figure.Figure(f"{name}.p{percent}", value, "ms").print()


def _measure_changes(cluster: Any, count: int) -> None:
    leader = cluster.wait_for_leader()
    base = leader.status()["configuration_version"]
    started_s = time.perf_counter()
    for number in range(CHANGES):
        answer = leader.change(f"bench-{next(_serial)}", base + number)
        assert answer.status == 200
    rate = CHANGES / (time.perf_counter() - started_s)
    name = f"control.changes.instances_{count}.one_after_the_other"
    figure.Figure(name, rate, "1/s").print()


def _measure_spread(cluster: Any, count: int) -> bool:
    ports = [one.port for one in cluster.instances]
    nodes = fake_nodes.FakeNodes(ports, _cluster.CLUSTER_KEY, count)
    nodes.start()
    leader = cluster.wait_for_leader()
    times_s = []
    for _ in range(3):
        version = leader.status()["configuration_version"] + 1
        answer = leader.change(f"bench-{next(_serial)}", version - 1)
        assert answer.status == 200
        started_s = time.perf_counter()
        _cluster.wait_until(
            lambda version=version: nodes.oldest_version >= version
        )
        times_s.append(time.perf_counter() - started_s)
    before = _read_load(cluster, nodes)
    time.sleep(3.0)
    after = _read_load(cluster, nodes)
    nodes.stop()
    seconds = after[0] - before[0]
    per_node_s = count * seconds
    name = f"control.nodes_{count}"
    held = figure.Figure(
        f"{name}.in_force", max(times_s), "s", IN_FORCE_BOUND_S
    ).print()
    held &= figure.Figure(
        f"{name}.bytes_per_node",
        (after[1] - before[1]) / per_node_s,
        "bytes/s",
        NODE_BOUND_BYTES_PER_S,
    ).print()
    figure.Figure(
        f"{name}.control_processor_time",
        (after[2] - before[2]) / len(ports) / seconds * 100,
        "% of a core per instance",
    ).print()
    return held


def _read_load(
    cluster: Any, nodes: fake_nodes.FakeNodes
) -> tuple[float, int, float]:
    processor_s = sum(
        _read_processor_s(one.process.pid) for one in cluster.instances
    )
    return time.perf_counter(), nodes.moved_bytes, processor_s


def _read_processor_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _measure_elections(cluster: Any) -> bool:
    times_s = []
    for _ in range(ELECTIONS):
        leader = cluster.wait_for_leader()
        others = [one for one in cluster.instances if one is not leader]
        leader.kill()
        started_s = time.perf_counter()
        cluster.wait_for_leader(others)
        times_s.append(time.perf_counter() - started_s)
        leader.start()
        _checks.wait_for_voters(cluster)
    longest = figure.Figure(
        "control.elect.longest", max(times_s), "s", ELECT_BOUND_S
    )
    return longest.print()


def _measure_catch_up(cluster: Any, count: int) -> None:
    leader = cluster.wait_for_leader()
    stopped = next(one for one in cluster.instances if one is not leader)
    stopped.kill()
    frames.run_pipelined(leader.port, "claim", _make_claims(count), 128)
    started_s = time.perf_counter()
    stopped.start()
    _cluster.wait_until(
        lambda: (stopped.status() or {"vouched_ms": 0})["vouched_ms"] > 0, 60.0
    )
    seconds = time.perf_counter() - started_s
    name = f"control.catch_up.claims_{count}"
    figure.Figure(f"{name}.with_start", seconds, "s").print()


def _percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
