"""Judges a run of the soak of the configuration by what its threads saw."""

from typing import NamedTuple

from tests.soak import checks
from tests.soak.configuration import core as core_module
from tests.soak.configuration import documents
from tests.soak.configuration import handling_checks
from tests.soak.configuration import read_checks
from tests.soak.configuration import spans as spans_module

RECOVERY_S = 15.0
RECOVERED_S = 3.0
# An end so soon after a disturbance of the instance is its consequence; it is
# noticed some tenths of a second later.
EXCUSED_AFTER_FAULT_S = 1.5


class Result(NamedTuple):
    """Result of the soak for one seed.

    Attributes:
        seed: The seed.
        requests: Number of requests that clients sent.
        judged: Number of runs and refusals that were checked.
        reads: Number of configurations that were read.
        answers: Number of clear answers to changes, by kind and status.
        injected_faults: Number of injected faults.
        stalled_s: Longest time for which this process was not scheduled.
        violations: One message for each violation of a guarantee.
    """

    seed: int
    requests: int
    judged: int
    reads: int
    answers: dict[tuple[str, int], int]
    injected_faults: int
    stalled_s: float
    violations: tuple[str, ...]


def judge(scenario, folder):
    """Returns the result; a list of the faults is left in the folder."""
    probes = [probe for client in scenario.clients for probe in client.probes]
    requests = [probe.request for probe in probes]
    records = {
        machine.name: checks.read_records(machine.records)
        for machine in scenario.machines
    }
    services = {machine.name: machine.service for machine in scenario.machines}
    handlings = handling_checks.list_handlings(probes, records, services)
    _add_spans_of_nodes(scenario)
    violations = checks.find_violations(
        requests, scenario.machines, scenario.watch
    )
    violations += handling_checks.find_violations(
        probes, handlings, scenario.history, _list_circumstances(scenario)
    )
    violations += scenario.operators.violations
    violations += _check_changes(scenario)
    violations += checks.find_recovery_violations(
        [
            probe.request
            for probe in probes
            if probe.prefix in documents.FIRST_PREFIXES
        ],
        scenario.all_back_s + RECOVERY_S,
    )
    violations += find_lost(handlings, scenario.all_back_s)
    violations += _list_ends(scenario)
    _write_faults(scenario, folder)
    return Result(
        scenario.seed,
        len(probes),
        len(handlings),
        len(scenario.readers.reads),
        scenario.operators.answers,
        len(scenario.node_faults.injected + scenario.losses.injected),
        scenario.watch.longest_s,
        tuple(violations),
    )


def find_lost(handlings, all_back_s):
    """Checks that planned ends of nodes cut off no request that ran."""
    from_s = all_back_s + spans_module.STABILITY_WINDOW_S
    for handling in handlings:
        request = handling.probe.request
        if request.status == 0 and request.sent_s >= from_s:
            yield f"LOST {handling}, and its connection was closed"


def _add_spans_of_nodes(scenario):
    for machine in scenario.machines:
        for at_s in machine.node.fault_times_s:
            scenario.spans.add(spans_module.Span(machine.name, at_s, at_s))
        for began_s in machine.node.stop_times_s:
            ended_s = min(
                (at for at in machine.node.start_times_s if at > began_s),
                default=began_s,
            )
            scenario.spans.add(
                spans_module.Span(machine.name, began_s, ended_s)
            )
        # A node that starts is in touch some time later.
        for at_s in machine.node.start_times_s:
            scenario.spans.add(spans_module.Span(machine.name, at_s, at_s))


def _list_circumstances(scenario):
    return handling_checks.Circumstances(
        scenario.spans,
        tuple(scenario.core.ips),
        scenario.size.instances,
        {
            machine.name: list(machine.node.start_times_s)
            for machine in scenario.machines
        },
    )


def _check_changes(scenario):
    reads = scenario.readers.reads
    ips = [instance.ip for instance in scenario.core.instances]
    yield from read_checks.find_violations(reads, scenario.history)
    yield from read_checks.find_conflicts(scenario.history)
    yield from read_checks.find_late_acknowledgements(
        scenario.history,
        scenario.spans,
        scenario.core.list_targets(),
        scenario.last_change_s,
    )
    yield from read_checks.find_final_violations(
        reads, scenario.history, ips, scenario.all_back_s, RECOVERY_S
    )
    yield from read_checks.find_final_violations(
        reads,
        scenario.history,
        ips,
        scenario.last_change_s,
        handling_checks.APPLY_S + RECOVERED_S,
    )


def _list_ends(scenario):
    yield from (
        f"ENDED {name} by itself"
        for name in scenario.node_faults.unexpected_ends
    )
    yield from (
        f"ENDED {ip} by itself at {at_s:.3f} s"
        for at_s, ip in scenario.node_faults.control_ends
        if not scenario.spans.find_targets(
            at_s - EXCUSED_AFTER_FAULT_S, at_s
        ).intersection({ip, core_module.get_disk_name(ip)})
    )
    yield from (
        f"LOST {name} did not end in time"
        for name in (
            *scenario.node_faults.timed_out_terminations,
            *scenario.losses.late_terminations,
        )
    )


def _write_faults(scenario, folder):
    lines = [
        f"{at:.3f} {kind} {name} {span_s:.2f} s"
        for at, kind, name, span_s in sorted(
            scenario.node_faults.injected + scenario.losses.injected
        )
    ]
    lines += [
        f"{change.sent_s:.3f} sent {change.document.version} on"
        f" {change.document.base} {change.document.invalid_kind},"
        f" acknowledged {change.acknowledged_s:.3f},"
        f" refused {change.refused_s:.3f}"
        for change in scenario.history.changes
    ]
    (folder / "faults.txt").write_text("\n".join(lines) + "\n")
