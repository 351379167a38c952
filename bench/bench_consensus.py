"""Benchmarks the replicated log under faults and on real folders.

Fault schedules, elections and repairs run on a virtual clock; commits and
catching up run on the real clock and the real storage.
"""

import collections
from concurrent import futures
import pathlib
import tempfile
import time

from bench import consensus_founding_schedule
from bench import consensus_local_cluster
from bench import consensus_scenarios
from bench import consensus_schedule
from bench import consensus_simulated_disk
from bench import consensus_stored_disk
from bench import figure
from cranberrymux.consensus import replica
from cranberrymux.consensus import replica_settings

SCHEDULES = 20_000
PROCESSES = 4
SCHEDULES_PER_TASK = 250
ELECTIONS = 200
ELECTION_BOUND_S = 3.0
REPAIRS = 50
LEASE_CHECKS = 10_000
COMMITS = 1_000
PAYLOAD_BYTES = 256
SETTINGS = replica_settings.ReplicaSettings()


def run() -> bool:
    """Prints all figures and returns whether every bound holds."""
    held = _run_schedules()
    for voters in (3, 5):
        held = _run_elections(voters) and held
    _run_repairs()
    _run_commits(3, (1, 8, 64, 512))
    _run_commits(5, (1, 64))
    _run_catch_up()
    return held


def _print_figure(
    name: str, value: float, unit: str, bound: float | None = None
) -> bool:
    return figure.Figure(f"consensus.{name}", value, unit, bound).print()


def _run_schedules() -> bool:
    event_counts: collections.Counter[str] = collections.Counter()
    violations: list[str] = []
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        first_seeds = range(0, SCHEDULES, SCHEDULES_PER_TASK)
        for counts, task_violations in pool.map(
            _run_schedules_from, first_seeds
        ):
            event_counts.update(counts)
            violations += task_violations
    for violation in violations[:10]:
        print(violation, flush=True)
    for name in sorted(event_counts):
        _print_figure(
            f"schedules.{name.replace(' ', '_')}", event_counts[name], "count"
        )
    schedule_figure = figure.Figure(
        "consensus.schedules",
        event_counts["schedules"],
        "count",
        SCHEDULES,
        False,
    )
    held = schedule_figure.print()
    return _print_figure("violations", len(violations), "count", 0) and held


def _run_schedules_from(
    first_seed: int,
) -> tuple[collections.Counter[str], list[str]]:
    event_counts: collections.Counter[str] = collections.Counter()
    violations = []
    for seed in range(first_seed, first_seed + SCHEDULES_PER_TASK):
        result = _make_schedule(seed).run()
        event_counts.update(result.event_counts)
        event_counts["schedules"] += 1
        event_counts["states"] += result.states
        event_counts["accepted entries"] += result.accepted
        event_counts["schedules checked for progress"] += (
            result.was_progress_checked
        )
        if result.violation:
            violations.append(f"seed {seed}: {result.violation}")
    return event_counts, violations


def _make_schedule(seed: int) -> consensus_schedule.Schedule:
    """Returns the schedule of a seed; every fourth one founds its cluster."""
    disk_class = (
        consensus_stored_disk.StoredDisk
        if seed % 2
        else consensus_simulated_disk.SimulatedDisk
    )
    if seed % 4 < 3:
        return consensus_schedule.Schedule(seed, disk_class=disk_class)
    return consensus_founding_schedule.FoundingSchedule(
        seed // 4, disk_class=disk_class
    )


def _run_elections(voters: int) -> bool:
    times_s = sorted(
        _measure_election_s(seed, voters) for seed in range(ELECTIONS)
    )
    name = f"election.{voters}_voters"
    _print_figure(f"{name}.p50", times_s[len(times_s) // 2], "s, virtual clock")
    return _print_figure(
        f"{name}.max", times_s[-1], "s, virtual clock", ELECTION_BOUND_S
    )


def _measure_election_s(seed: int, voters: int) -> float:
    cluster = consensus_scenarios.build_cluster(
        seed, voters, replica.Replica, SETTINGS
    )
    cluster.max_sync_s = 0.02
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    cluster.run_for(1.0 + cluster.generator.random())
    crashed_at_s = cluster.now_s
    cluster.crash(leader)
    consensus_scenarios.wait_for_lease_holder(cluster)
    return cluster.now_s - crashed_at_s


def _run_repairs() -> None:
    times_s = sorted(_measure_repair_s(seed) for seed in range(REPAIRS))
    _print_figure("repair.p50", times_s[len(times_s) // 2], "s, virtual clock")
    _print_figure("repair.max", times_s[-1], "s, virtual clock")


def _measure_repair_s(seed: int) -> float:
    # Measures from the start on an empty disk until the replica is one of
    # three voters again.
    cluster = consensus_scenarios.build_cluster(
        seed, 3, replica.Replica, SETTINGS
    )
    cluster.checks_disks = False
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    assert leader.replica is not None
    lost_node = next(node for node in cluster.nodes if node is not leader)
    cluster.crash(lost_node)
    lost_node.lose_disk()
    cluster.start(lost_node)
    started_at_s = cluster.now_s
    voters = leader.replica.journal.voters
    while lost_node.disk.replica_id not in voters or len(voters) != 3:
        cluster.run_for(0.01)
        voters = leader.replica.journal.voters
    return cluster.now_s - started_at_s


def _run_lease_checks(cluster: consensus_local_cluster.LocalCluster) -> None:
    now_s = time.monotonic()
    started_s = time.perf_counter()
    for _ in range(LEASE_CHECKS):
        cluster.leader.driver.may_read(now_s)
    taken_s = time.perf_counter() - started_s
    _print_figure("lease_check", taken_s / LEASE_CHECKS * 1e6, "us")


def _run_commits(voters: int, windows: tuple[int, ...]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        cluster = consensus_local_cluster.LocalCluster(
            pathlib.Path(folder), voters, SETTINGS
        )
        for window in windows:
            _run_commit_window(cluster, voters, window)
        if voters == 3:
            _run_lease_checks(cluster)
        cluster.close()


def _run_commit_window(
    cluster: consensus_local_cluster.LocalCluster, voters: int, window: int
) -> None:
    sent_at_s: dict[int, float] = {}
    latencies_s: list[float] = []
    count = COMMITS * min(window, 16)
    payload = b"x" * PAYLOAD_BYTES
    messages, syncs = cluster.messages, cluster.syncs
    started_s = time.perf_counter()
    while len(latencies_s) < count:
        while len(sent_at_s) < window and (
            len(sent_at_s) + len(latencies_s) < count
        ):
            index = cluster.propose(payload)
            sent_at_s[index] = time.perf_counter()
        cluster.pump()
        now_s = time.perf_counter()
        applied = cluster.leader.applied_index
        for index in [x for x in sent_at_s if x <= applied]:
            latencies_s.append(now_s - sent_at_s.pop(index))
    taken_s = time.perf_counter() - started_s
    latencies_s.sort()
    name = f"commit.{voters}_voters.{window}_waiting"
    _print_figure(f"{name}.p50", latencies_s[count // 2] * 1e3, "ms")
    _print_figure(f"{name}.p99", latencies_s[count * 99 // 100] * 1e3, "ms")
    _print_figure(f"{name}.rate", count / taken_s, "entries/s")
    messages = cluster.messages - messages
    _print_figure(f"{name}.messages", messages / count, "messages/entry")
    _print_figure(
        f"{name}.syncs", (cluster.syncs - syncs) / count, "syncs/entry"
    )


def _run_catch_up() -> None:
    for entries in (1_000, 4_000):
        _measure_catch_up(f"{entries}_entries", entries, 0)
    for mebibytes in (1, 8):
        _measure_catch_up(f"{mebibytes}_mib_snapshot", 100, mebibytes << 20)


def _measure_catch_up(name: str, entries: int, snapshot_bytes: int) -> None:
    settings = SETTINGS._replace(
        retained_entries=1 if snapshot_bytes else 10**6
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = consensus_local_cluster.LocalCluster(
            pathlib.Path(folder), 3, settings
        )
        index = 0
        for _ in range(entries):
            index = cluster.propose(b"x" * PAYLOAD_BYTES)
        cluster.wait_for(cluster.leader, index)
        if snapshot_bytes:
            cluster.snapshot(bytes(snapshot_bytes))
        started_s = time.perf_counter()
        learner = cluster.add_learner("g")
        cluster.wait_for(learner, index)
        taken_s = time.perf_counter() - started_s
        assert learner.installed_bytes == snapshot_bytes
        cluster.close()
    _print_figure(f"catch_up.{name}", taken_s, "s")
