"""Costs of the control instances."""

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
BYTES_BOUND_PER_S = 3000.0
NODES = (10, 50, 200)
SUBSCRIBED = (0, 5, 50, 500)
SELECTORS = (10, 100, 200)
PARSED_SELECTORS = (10, 100, 300, 1000)
MOST_SELECTORS = 1000
DIRECTORY = (0, 2000, 6000, 10_000)
CLAIMS = (0, 4000, 8000, 16_000)
_WINDOW_S = 6.0
_BEATS = 600
_CLAIM_WINDOW = 128
_TICKS = 20
_LEASE_S = 3.0


def measure_heartbeats() -> bool:
    """Measures bytes, processor time and spread; True if bounds hold."""
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        setup = control_setup.ControlSetup(folder)
        try:
            held = _measure_spread(setup)
            _measure_subscriptions(setup)
            _measure_documents(setup)
            held = _measure_longest_document(setup) and held
        finally:
            setup.stop()
    return held


def measure_parsing() -> None:
    """Measures what reading a document takes a node or control instance."""
    for count in PARSED_SELECTORS:
        document = make_document(count)
        started_s = time.process_time()
        document_reader.parse(document)
        spent_s = time.process_time() - started_s
        _print(f"document.parse_{count}_selectors", spent_s * 1000, "ms")
        started_s = time.process_time()
        difference.compute(make_document(1), document, "old", "new")
        spent_s = time.process_time() - started_s
        _print(f"document.difference_{count}_selectors", spent_s * 1000, "ms")


def measure_memory() -> None:
    """Measures memory by endpoints and by claims, and claims' time."""
    for measure in (_measure_directory, _measure_claims):
        with tempfile.TemporaryDirectory(
            prefix="cranberrymux-bench-"
        ) as folder:
            setup = control_setup.ControlSetup(folder)
            try:
                measure(setup)
            finally:
                setup.stop()
    _measure_table()


def make_document(selectors: int) -> str:
    """Returns a document with so many selectors."""
    rules = "".join(
        f"  - name: selector-{number}\n"
        f"    match: service = service-{number}, method = POST\n"
        "    class: live\n    once_only: true\n"
        for number in range(selectors)
    )
    return f"classes:\n  - name: live\n  - name: bulk\nselectors:\n{rules}"


def _measure_spread(setup: control_setup.ControlSetup) -> bool:
    held = True
    leader_points = []
    follower_points = []
    for count in NODES:
        nodes = fake_nodes.FakeNodes(setup.ports, setup.key, count)
        nodes.start()
        in_force_s = max(_time_change(setup, nodes) for _ in range(3))
        before = _read(setup, nodes)
        time.sleep(_WINDOW_S)
        after = _read(setup, nodes)
        nodes.stop()
        seconds = after[0] - before[0]
        rate = (after[1] - before[1]) / seconds / len(setup.ports)
        shares = [
            (end - start) / seconds
            for start, end in zip(before[3], after[3], strict=True)
        ]
        leader = shares.pop(setup.leader)
        leader_points.append((rate, leader))
        follower_points.append((rate, sum(shares) / len(shares)))
        name = f"capacity.nodes_{count}"
        held &= figure.Figure(
            f"{name}.in_force", in_force_s, "s", IN_FORCE_BOUND_S
        ).print()
        held &= figure.Figure(
            f"{name}.bytes_per_node",
            (after[2] - before[2]) / seconds / count,
            "bytes/s",
            BYTES_BOUND_PER_S,
        ).print()
        _print(f"nodes_{count}.leader_share", leader * 100, "% of a core")
        _print(
            f"nodes_{count}.follower_share",
            follower_points[-1][1] * 100,
            "% of a core",
        )
    for role, points in (
        ("leader", leader_points),
        ("follower", follower_points),
    ):
        slope = usage.fit_slope(points)
        _print(f"{role}.cpu_per_heartbeat", slope * 1e6, "us")
        rest = points[0][1] - slope * points[0][0]
        _print(f"{role}.cpu_at_rest", rest * 100, "% of a core")
    return held


def _time_change(
    setup: control_setup.ControlSetup, nodes: fake_nodes.FakeNodes
) -> float:
    version = setup.apply(make_document(1))
    started_s = time.perf_counter()
    while nodes.oldest_version < version:
        if time.perf_counter() - started_s > 5 * IN_FORCE_BOUND_S:
            break
        time.sleep(0.01)
    return time.perf_counter() - started_s


def _read(
    setup: control_setup.ControlSetup, nodes: fake_nodes.FakeNodes
) -> tuple[float, int, int, list[float]]:
    shares = [usage.read_processor_s(pid) for pid in setup.pids]
    return time.perf_counter(), nodes.beats, nodes.moved_bytes, shares


def _measure_subscriptions(setup: control_setup.ControlSetup) -> None:
    announcer = heartbeats.Announcer(setup.ports, setup.key, max(SUBSCRIBED))
    announcer.announce()
    announcer.start()
    time.sleep(3.5)  # A lease, after which answers are whole.
    place = (setup.leader + 1) % len(setup.ports)
    for count in SUBSCRIBED:
        services = heartbeats.make_service_names(count)
        known = ("", 0)
        for label in ("whole", "unchanged"):
            beat = heartbeats.make_heartbeat(
                "asker", services=services, known=known
            )
            sent, received, cost_s, answer = _ask(setup, place, beat)
            known = (answer.directory_epoch, answer.directory_revision)
            name = f"subscribed_{count}.{label}"
            _print(f"{name}.sent", sent, "bytes")
            _print(f"{name}.received", received, "bytes")
            _print(f"{name}.cpu", cost_s * 1e6, "us/heartbeat")
    announcer.stop()


def _ask(
    setup: control_setup.ControlSetup, place: int, beat: Any
) -> tuple[int, int, float, Any]:
    frame = frames.encode_call("heartbeat", setup.key, beat, 0)
    connection = frames.Connection(setup.ports[place])
    connection.send(frame)
    _, answer = frames.decode_answer("heartbeat", connection.receive())
    received = connection.received_bytes
    before_s = usage.read_processor_s(setup.pids[place])
    for _ in range(_BEATS):
        connection.send(frame)
        connection.receive()
    spent_s = usage.read_processor_s(setup.pids[place]) - before_s
    connection.close()
    return len(frame), received, spent_s / _BEATS, answer


def _measure_documents(setup: control_setup.ControlSetup) -> None:
    beat = heartbeats.make_heartbeat("asker", configuration_version=0)
    for count in SELECTORS:
        document = make_document(count)
        setup.apply(document)
        time.sleep(0.5)
        _, received, cost_s, answer = _ask(setup, setup.leader, beat)
        assert answer.configuration == document
        _print(f"selectors_{count}.version", received, "bytes")
        _print(f"selectors_{count}.cpu", cost_s * 1e6, "us/heartbeat")


def _measure_longest_document(setup: control_setup.ControlSetup) -> bool:
    document = make_document(MOST_SELECTORS)
    try:
        setup.apply(document)
        accepted = 1
    except urllib.error.HTTPError:
        accepted = 0
    return figure.Figure(
        f"capacity.selectors_{MOST_SELECTORS}.accepted",
        accepted,
        "changes",
        1,
        at_most=False,
    ).print()


def _measure_directory(setup: control_setup.ControlSetup) -> None:
    place = (setup.leader + 1) % len(setup.ports)
    points = []
    first = 0
    for last in DIRECTORY:
        beats = heartbeats.encode_announcements(setup.key, first, last)
        if beats:
            frames.run_pipelined(setup.ports[place], "heartbeat", beats, 1)
        memory = usage.read_memory_bytes(setup.pids[place])
        points.append((float(last), float(memory)))
        _print(f"directory_{last}.memory", memory / 1e6, "MB")
        first = last
    slope = usage.fit_slope(points)
    _print("directory.memory_per_1000_endpoints", slope / 1000, "MB")


def _measure_claims(setup: control_setup.ControlSetup) -> None:
    port = setup.ports[setup.leader]
    points: list[list[tuple[float, float]]] = [[] for _ in setup.pids]
    before_s = [usage.read_processor_s(pid) for pid in setup.pids]
    first = 0
    for last in CLAIMS:
        if last > first:
            calls = _make_claims(setup.key, first, last)
            frames.run_pipelined(port, "claim", calls, _CLAIM_WINDOW)
            time.sleep(1.0)
        for place, pid in enumerate(setup.pids):
            memory = float(usage.read_memory_bytes(pid))
            points[place].append((float(last), memory))
        first = last
    for place, pid in enumerate(setup.pids):
        role = "leader" if place == setup.leader else f"follower_{place}"
        spent_s = usage.read_processor_s(pid) - before_s[place]
        _print(f"claims.{role}.at_rest", points[place][0][1] / 1e6, "MB")
        slope = usage.fit_slope(points[place]) / 1000
        _print(f"claims.{role}.memory_per_1000", slope, "MB")
        _print(f"claims.{role}.cpu", spent_s / CLAIMS[-1] * 1e6, "us/claim")


def _make_claims(key: str, first: int, last: int) -> list[bytes]:
    now_ms = int(time.time() * 1000)
    calls = []
    for number in range(first, last):
        text = f"{now_ms:012x}7{0:03x}8{number:015x}"
        parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
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


def _measure_table() -> None:
    count = DIRECTORY[-1]
    held = endpoint_table.EndpointTable(_LEASE_S, 20 * _LEASE_S, 0.0)
    for now_s in range(1, int(_LEASE_S) + 1):
        held.tick(float(now_s))  # Shorter steps than a pause.
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        endpoint = heartbeats.make_endpoint(number)
        held.announce(endpoint_conversion.decode_endpoint(endpoint), _LEASE_S)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    _print("table.memory_per_1000_endpoints", size / count * 1000 / 1e6, "MB")
    started_s = time.process_time()
    for _ in range(_TICKS):
        held.tick(_LEASE_S + 0.1)
    tick_s = (time.process_time() - started_s) / _TICKS
    _print(f"table.tick_of_{count}", tick_s * 1000, "ms")


def _print(name: str, value: float, unit: str) -> None:
    figure.Figure(f"capacity.{name}", round(value, 4), unit).print()
