"""Runs the soak for one seed: start, faults, recovery and checks."""

import collections
import threading
import time
from typing import NamedTuple

from cranberrymux.demo import ports
from tests.platform import fleet as fleet_module
from tests.soak import account_checks
from tests.soak import account_clients
from tests.soak import checks
from tests.soak import clients as clients_module
from tests.soak import config_operator
from tests.soak import crashing
from tests.soak import faults as faults_module
from tests.soak import machine as machine_module
from tests.soak import self_reports as self_reports_module
from tests.soak import stall_watch

SERVICES = ("s1", "s1", "s2", "s2", "s2")
CLIENTS = 8
FIRST_ANSWERS_TIMEOUT_S = 20.0
RECOVERY_S = 15.0
RECOVERED_S = 3.0
# Code that control instances run before their program: it makes their disk
# full while a marker file exists, and shifts their time of day by -3 to 3 s.
CONTROL_FAULT_CODE = """
import errno, os, stat, time
_real_write, _real_time, _real_time_ns = os.write, time.time, time.time_ns
_full = os.environ['CRANBERRYMUX_SETTINGS'].replace('.toml', '')
_full = os.path.join(os.path.dirname(_full), 'full-' + os.path.basename(_full))
_off_s = (os.getpid() % 7 - 3)
def _write(descriptor, data):
    is_file = stat.S_ISREG(os.fstat(descriptor).st_mode)
    if descriptor > 2 and is_file and os.path.exists(_full):
        _real_write(descriptor, data[:len(data) // 2])
        raise OSError(errno.ENOSPC, 'no space left')
    return _real_write(descriptor, data)
os.write = _write
time.time = lambda: _real_time() + _off_s
time.time_ns = lambda: _real_time_ns() + _off_s * 10**9
"""


class Result(NamedTuple):
    """Result of the soak for one seed.

    Attributes:
        seed: The seed.
        requests: Number of requests that clients sent.
        served: Number of those that were answered with 200.
        injected_faults: Number of injected faults.
        stalled_s: Longest time for which this process was not scheduled.
        violations: One message for each violation of a guarantee.
        account_statuses: Account and status, and how often it got that.
    """

    seed: int
    requests: int
    served: int
    injected_faults: int
    stalled_s: float
    violations: tuple[str, ...]
    account_statuses: tuple[tuple[tuple[str, int], int], ...] = ()


def run(seed, folder, length_s):
    """Runs one seed; logs and records are left in the folder.

    Args:
        seed: Seed of the faults and of the requests.
        folder: An empty folder for settings, logs and records.
        length_s: Time for which faults are injected, seconds.
    """
    fleet = fleet_module.Fleet(folder, 3, CONTROL_FAULT_CODE)
    node_ports = ports.find_free_ports(5)
    machines = [
        machine_module.Machine(folder, fleet, place, service, node_ports)
        for place, service in enumerate(SERVICES)
    ]
    try:
        with fleet:
            return _inject_and_check(seed, fleet, machines, length_s)
    finally:
        for machine in machines:
            machine.close()


def _inject_and_check(seed, fleet, machines, length_s):
    operator = config_operator.Operator(fleet)
    operator.start()
    for machine in machines:
        machine.start()
    clients = [
        clients_module.Client(f"c{number}", machines, seed)
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    _wait_until_served(clients)
    crashing_callers = [
        crashing.Caller(path, machines, seed) for path in crashing.PATHS
    ]
    for caller in crashing_callers:
        caller.start()
    account_callers = [
        account_clients.AccountClient(name, machines, operator.timeline, seed)
        for name in account_clients.RATES
    ]
    for caller in account_callers:
        caller.start()
    watch = stall_watch.StallWatch()
    watch.start()
    faults = faults_module.Faults(seed, machines, fleet)
    supervisor = threading.Thread(target=faults.supervise_forever, daemon=True)
    supervisor.start()
    self_reports = self_reports_module.SelfReports(seed, machines, faults)
    self_reports.start()
    faults.run(length_s)
    self_reports.should_stop = True
    self_reports.join()
    for machine in machines:
        machine.clear_faults()
    time.sleep(RECOVERY_S)
    recovered_at_s = time.monotonic()
    time.sleep(RECOVERED_S)
    faults.stop_supervising()
    supervisor.join()
    operator.should_stop = True
    for thread in (*clients, *crashing_callers, *account_callers):
        thread.should_stop = True
    for thread in (operator, *clients, *crashing_callers, *account_callers):
        thread.join()
    observed = [request for client in clients for request in client.observed]
    crashing_observed = [
        request for caller in crashing_callers for request in caller.observed
    ]
    account_observed = [
        request for caller in account_callers for request in caller.observed
    ]
    watch.should_stop = True
    violations = checks.find_violations(
        observed + crashing_observed + account_observed, machines, watch
    )
    violations += account_checks.find_violations(
        account_observed,
        {each.name: checks.read_records(each.records) for each in machines},
        {each.name: each.late_times_s for each in machines},
        operator.timeline.acknowledged,
        operator.timeline.sent,
    )
    violations += checks.find_recovery_violations(observed, recovered_at_s)
    violations += [f"CONFIG {violation}" for violation in operator.violations]
    violations += [f"ENDED {name} by itself" for name in faults.unexpected_ends]
    violations += [
        f"LOST {name} did not end in time"
        for name in faults.timed_out_terminations
    ]
    version, _ = operator.acknowledged
    version_read = operator.poll_newest_version(time.monotonic() + RECOVERY_S)
    if version_read < version:
        violations.append(
            f"CONFIG {version_read} is told, {version} was acknowledged"
        )
    served = sum(request.status == 200 for request in observed)
    _write_faults(machines[0].records.parent, faults)
    return Result(
        seed,
        len(observed),
        served,
        len(faults.injected),
        watch.longest_s,
        tuple(violations),
        _count_statuses(account_observed),
    )


def _count_statuses(observed):
    """Returns how often each account got which status."""
    counts = collections.Counter(
        (account_checks.get_account({"id": each.request_id}), each.status)
        for each in observed
    )
    return tuple(sorted(counts.items()))


def _wait_until_served(clients):
    deadline_s = time.monotonic() + FIRST_ANSWERS_TIMEOUT_S
    while time.monotonic() < deadline_s:
        observed = [
            request for client in clients for request in client.observed[-20:]
        ]
        if sum(request.status == 200 for request in observed) > 20:
            return
        time.sleep(0.1)


def _write_faults(folder, faults):
    lines = [
        f"{at:.3f} {kind} {name} {span_s:.2f} s"
        for at, kind, name, span_s in faults.injected
    ]
    (folder / "faults.txt").write_text("\n".join(lines) + "\n")
