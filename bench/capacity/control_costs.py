"""Memory, bytes and processor time that control instances need."""

import tempfile
import time
import tracemalloc
from typing import Any
import urllib.error

from bench import figure
from bench.capacity import control_setup
from bench.capacity import heartbeats
from bench.capacity import usage
from bench.control import fake_nodes
from bench.control import frames
from cranberrymux.decisions.configuration import difference
from cranberrymux.decisions.configuration import document_reader
from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.wire import endpoint_conversion
from cranberrymux.wire.gen.messages import ttypes

IN_FORCE_BOUND_S = 2.0
NODE_BOUND_BYTES_PER_S = 3000.0
NODE_COUNTS = (10, 50, 200)
SUBSCRIBED_ENDPOINT_COUNTS = (0, 5, 50, 500)
SELECTOR_COUNTS = (10, 100, 200)
PARSED_SELECTOR_COUNTS = (10, 100, 300, 1000)
MAXIMUM_SELECTORS = 1000
DIRECTORY_ENDPOINT_COUNTS = (0, 2000, 6000, 10_000)
CLAIM_COUNTS = (0, 4000, 8000, 16_000)
_MEASUREMENT_S = 6.0
_HEARTBEAT_COUNT = 600
_MAXIMUM_OPEN_CLAIMS = 128
_TICK_COUNT = 20
_LEASE_S = 3.0


def measure_heartbeats() -> bool:
    """Measures costs of heartbeats by nodes, endpoints and document size.

    Returns:
        True if the bounds of bytes and of the time until a change is in force
        hold, and the longest document is accepted.
    """
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        cluster = control_setup.ControlSetup(folder)
        try:
            bounds_hold = _measure_nodes(cluster)
            _measure_subscriptions(cluster)
            _measure_documents(cluster)
            bounds_hold = _measure_longest_document(cluster) and bounds_hold
        finally:
            cluster.stop()
    return bounds_hold


def measure_parsing() -> None:
    """Measures the processor time of parsing and comparing a document."""
    for count in PARSED_SELECTOR_COUNTS:
        document = make_document(count)
        started_s = time.process_time()
        document_reader.parse(document)
        used_s = time.process_time() - started_s
        _print_figure(f"document.parse_{count}_selectors", used_s * 1000, "ms")
        started_s = time.process_time()
        difference.compute(make_document(1), document, "old", "new")
        used_s = time.process_time() - started_s
        _print_figure(
            f"document.difference_{count}_selectors", used_s * 1000, "ms"
        )


def measure_memory() -> None:
    """Measures memory by endpoints and claims, and the time of a claim."""
    for measure in (_measure_directory, _measure_claims):
        with tempfile.TemporaryDirectory(
            prefix="cranberrymux-bench-"
        ) as folder:
            cluster = control_setup.ControlSetup(folder)
            try:
                measure(cluster)
            finally:
                cluster.stop()
    _measure_endpoint_table()


def make_document(selectors: int) -> str:
    """Returns a valid configuration document with that many selectors."""
    rules = "".join(
        f"  - name: selector-{number}\n"
        f"    match: service = service-{number}, method = POST\n"
        "    class: live\n    once_only: true\n"
        for number in range(selectors)
    )
    return f"classes:\n  - name: live\n  - name: bulk\nselectors:\n{rules}"


def _measure_nodes(cluster: control_setup.ControlSetup) -> bool:
    bounds_hold = True
    leader_points = []
    follower_points = []
    for count in NODE_COUNTS:
        nodes = fake_nodes.FakeNodes(cluster.ports, cluster.key, count)
        nodes.start()
        in_force_s = max(_time_change(cluster, nodes) for _ in range(3))
        before = _read_totals(cluster, nodes)
        time.sleep(_MEASUREMENT_S)
        after = _read_totals(cluster, nodes)
        nodes.stop()
        elapsed_s = after[0] - before[0]
        heartbeats_per_s = (
            (after[1] - before[1]) / elapsed_s / len(cluster.ports)
        )
        cores = [
            (end - start) / elapsed_s
            for start, end in zip(before[3], after[3], strict=True)
        ]
        leader_cores = cores.pop(cluster.leader_index)
        leader_points.append((heartbeats_per_s, leader_cores))
        follower_points.append((heartbeats_per_s, sum(cores) / len(cores)))
        name = f"capacity.nodes_{count}"
        bounds_hold &= figure.Figure(
            f"{name}.in_force", in_force_s, "s", IN_FORCE_BOUND_S
        ).print()
        bounds_hold &= figure.Figure(
            f"{name}.bytes_per_node",
            (after[2] - before[2]) / elapsed_s / count,
            "bytes/s",
            NODE_BOUND_BYTES_PER_S,
        ).print()
        _print_figure(
            f"nodes_{count}.leader_share", leader_cores * 100, "% of a core"
        )
        _print_figure(
            f"nodes_{count}.follower_share",
            follower_points[-1][1] * 100,
            "% of a core",
        )
    for role, points in (
        ("leader", leader_points),
        ("follower", follower_points),
    ):
        slope = usage.fit_slope(points)
        _print_figure(f"{role}.cpu_per_heartbeat", slope * 1e6, "us")
        cores_at_rest = points[0][1] - slope * points[0][0]
        _print_figure(f"{role}.cpu_at_rest", cores_at_rest * 100, "% of a core")
    return bounds_hold


def _time_change(
    cluster: control_setup.ControlSetup, nodes: fake_nodes.FakeNodes
) -> float:
    version = cluster.apply_document(make_document(1))
    started_s = time.perf_counter()
    while nodes.oldest_version < version:
        if time.perf_counter() - started_s > 5 * IN_FORCE_BOUND_S:
            break
        time.sleep(0.01)
    return time.perf_counter() - started_s


def _read_totals(
    cluster: control_setup.ControlSetup, nodes: fake_nodes.FakeNodes
) -> tuple[float, int, int, list[float]]:
    processor_s = [usage.read_processor_s(pid) for pid in cluster.pids]
    return (
        time.perf_counter(),
        nodes.answered_heartbeats,
        nodes.transferred_bytes,
        processor_s,
    )


def _measure_subscriptions(cluster: control_setup.ControlSetup) -> None:
    announcer = heartbeats.EndpointAnnouncer(
        cluster.ports, cluster.key, max(SUBSCRIBED_ENDPOINT_COUNTS)
    )
    announcer.announce()
    announcer.start()
    time.sleep(3.5)  # Until a lease has passed and directories are complete.
    index = (cluster.leader_index + 1) % len(cluster.ports)
    for count in SUBSCRIBED_ENDPOINT_COUNTS:
        services = heartbeats.make_service_names(count)
        known = ("", 0)
        for label in ("whole", "unchanged"):
            heartbeat = heartbeats.make_heartbeat(
                "asker", services=services, known=known
            )
            sent_bytes, received_bytes, cost_s, answer = _measure_heartbeat(
                cluster, index, heartbeat
            )
            known = (answer.directory_epoch, answer.directory_revision)
            name = f"subscribed_{count}.{label}"
            _print_figure(f"{name}.sent", sent_bytes, "bytes")
            _print_figure(f"{name}.received", received_bytes, "bytes")
            _print_figure(f"{name}.cpu", cost_s * 1e6, "us/heartbeat")
    announcer.stop()


def _measure_heartbeat(
    cluster: control_setup.ControlSetup, index: int, heartbeat: Any
) -> tuple[int, int, float, Any]:
    frame = frames.encode_call("heartbeat", cluster.key, heartbeat, 0)
    connection = frames.Connection(cluster.ports[index])
    connection.send(frame)
    _, answer = frames.decode_answer("heartbeat", connection.receive())
    received_bytes = connection.received_bytes
    before_s = usage.read_processor_s(cluster.pids[index])
    for _ in range(_HEARTBEAT_COUNT):
        connection.send(frame)
        connection.receive()
    used_s = usage.read_processor_s(cluster.pids[index]) - before_s
    connection.close()
    return len(frame), received_bytes, used_s / _HEARTBEAT_COUNT, answer


def _measure_documents(cluster: control_setup.ControlSetup) -> None:
    heartbeat = heartbeats.make_heartbeat("asker", configuration_version=0)
    for count in SELECTOR_COUNTS:
        document = make_document(count)
        cluster.apply_document(document)
        time.sleep(0.5)
        _, received_bytes, cost_s, answer = _measure_heartbeat(
            cluster, cluster.leader_index, heartbeat
        )
        assert answer.configuration == document
        _print_figure(f"selectors_{count}.version", received_bytes, "bytes")
        _print_figure(f"selectors_{count}.cpu", cost_s * 1e6, "us/heartbeat")


def _measure_longest_document(cluster: control_setup.ControlSetup) -> bool:
    document = make_document(MAXIMUM_SELECTORS)
    try:
        cluster.apply_document(document)
        accepted_count = 1
    except urllib.error.HTTPError:
        accepted_count = 0
    return figure.Figure(
        f"capacity.selectors_{MAXIMUM_SELECTORS}.accepted",
        accepted_count,
        "changes",
        1,
        at_most=False,
    ).print()


def _measure_directory(cluster: control_setup.ControlSetup) -> None:
    index = (cluster.leader_index + 1) % len(cluster.ports)
    points = []
    first = 0
    for last in DIRECTORY_ENDPOINT_COUNTS:
        calls = heartbeats.encode_announcements(cluster.key, first, last)
        if calls:
            frames.run_pipelined(cluster.ports[index], "heartbeat", calls, 1)
        memory_bytes = usage.read_memory_bytes(cluster.pids[index])
        points.append((float(last), float(memory_bytes)))
        _print_figure(f"directory_{last}.memory", memory_bytes / 1e6, "MB")
        first = last
    slope = usage.fit_slope(points)
    _print_figure("directory.memory_per_1000_endpoints", slope / 1000, "MB")


def _measure_claims(cluster: control_setup.ControlSetup) -> None:
    port = cluster.ports[cluster.leader_index]
    points: list[list[tuple[float, float]]] = [[] for _ in cluster.pids]
    before_s = [usage.read_processor_s(pid) for pid in cluster.pids]
    first = 0
    for last in CLAIM_COUNTS:
        if last > first:
            calls = _make_claims(cluster.key, first, last)
            frames.run_pipelined(port, "claim", calls, _MAXIMUM_OPEN_CLAIMS)
            time.sleep(1.0)
        for index, pid in enumerate(cluster.pids):
            memory_bytes = float(usage.read_memory_bytes(pid))
            points[index].append((float(last), memory_bytes))
        first = last
    for index, pid in enumerate(cluster.pids):
        role = (
            "leader" if index == cluster.leader_index else f"follower_{index}"
        )
        used_s = usage.read_processor_s(pid) - before_s[index]
        _print_figure(f"claims.{role}.at_rest", points[index][0][1] / 1e6, "MB")
        slope = usage.fit_slope(points[index]) / 1000
        _print_figure(f"claims.{role}.memory_per_1000", slope, "MB")
        _print_figure(
            f"claims.{role}.cpu", used_s / CLAIM_COUNTS[-1] * 1e6, "us/claim"
        )


def _make_claims(key: str, first: int, last: int) -> list[bytes]:
    now_ms = int(time.time() * 1000)
    calls = []
    for number in range(first, last):
        digits = f"{now_ms:012x}7{0:03x}8{number:015x}"
        parts = (
            digits[:8],
            digits[8:12],
            digits[12:16],
            digits[16:20],
            digits[20:],
        )
        claim = ttypes.ClaimRequest(
            request_id="-".join(parts),
            call_id="1",
            body_digest="0" * 64,
            owner="node-1",
            owner_incarnation=1,
            principal="dispatcher-1",
            claim_id=f"{number:032x}",
        )
        calls.append(frames.encode_call("claim", key, claim, number - first))
    return calls


def _measure_endpoint_table() -> None:
    count = DIRECTORY_ENDPOINT_COUNTS[-1]
    table = endpoint_table.EndpointTable(_LEASE_S, 20 * _LEASE_S, 0.0)
    for now_s in range(1, int(_LEASE_S) + 1):
        table.tick(float(now_s))  # A longer step would count as a pause.
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        endpoint = heartbeats.make_endpoint(number)
        table.announce(endpoint_conversion.decode_endpoint(endpoint), _LEASE_S)
    table_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    _print_figure(
        "table.memory_per_1000_endpoints",
        table_bytes / count * 1000 / 1e6,
        "MB",
    )
    started_s = time.process_time()
    for _ in range(_TICK_COUNT):
        table.tick(_LEASE_S + 0.1)
    tick_s = (time.process_time() - started_s) / _TICK_COUNT
    _print_figure(f"table.tick_of_{count}", tick_s * 1000, "ms")


def _print_figure(name: str, value: float, unit: str) -> None:
    figure.Figure(f"capacity.{name}", round(value, 4), unit).print()
