"""Runs the soak of the configuration for one seed."""

import random
import threading
import time
from typing import NamedTuple

from cranberrymux.demo import ports
from tests.platform import fleet as fleet_module
from tests.soak import machine as machine_module
from tests.soak import stall_watch
from tests.soak.configuration import core as core_module
from tests.soak.configuration import core_faults
from tests.soak.configuration import documents
from tests.soak.configuration import handling_checks
from tests.soak.configuration import history as history_module
from tests.soak.configuration import links as links_module
from tests.soak.configuration import losses as losses_module
from tests.soak.configuration import node_faults
from tests.soak.configuration import operators as operators_module
from tests.soak.configuration import probe_clients
from tests.soak.configuration import process_faults
from tests.soak.configuration import readers as readers_module
from tests.soak.configuration import spans as spans_module
from tests.soak.configuration import verdict

FIRST_VERSION_S = 20.0
LATE_MACHINES = 2
ROLLED_NODES = 2


class Size(NamedTuple):
    """How many processes and clients take part.

    Attributes:
        instances: Number of control instances.
        machines: Number of nodes, each with a backend server.
        clients: Number of clients.
    """

    instances: int
    machines: int
    clients: int


SMALL = Size(3, 6, 8)
LARGE = Size(4, 16, 32)


def run(seed, folder, length_s, size=SMALL):
    """Runs one seed; logs and records are left in the folder.

    Args:
        seed: Seed of the faults, of the changes and of the requests.
        folder: An empty folder for settings, logs and records.
        length_s: Time for which faults are injected, seconds.
        size: Number of processes and clients.
    """
    fleet = fleet_module.Fleet(
        folder, size.instances, process_faults.CONTROL_CODE
    )
    machine_ports = ports.find_free_ports(5)
    machines = [
        machine_module.Machine(
            folder,
            fleet,
            place,
            documents.SERVICES[place % len(documents.SERVICES)],
            machine_ports,
            process_faults.NODE_CODE,
        )
        for place in range(size.machines)
    ]
    try:
        with fleet:
            scenario = Scenario(seed, fleet, machines, size)
            scenario.play(length_s)
            return verdict.judge(scenario, folder)
    finally:
        for machine in machines:
            machine.close()


class Scenario:
    """The threads of one run, and what they saw.

    Attributes:
        seed: The seed.
        size: Number of processes and clients.
        machines: The nodes and their backend servers.
        history: The changes.
        spans: Disturbances; those of nodes are added by `verdict`.
        core: The control instances.
        operators: The thread that sends changes.
        readers: The threads that read the configuration.
        clients: The threads that send requests.
        watch: Stalls of this process.
        node_faults: Faults of the machines.
        losses: Faults of the control instances.
        all_back_s: Time of the end of the last fault, monotonic seconds.
        last_change_s: Time until which changes were sent.
    """

    def __init__(self, seed, fleet, machines, size):
        self.seed = seed
        self.size = size
        self.machines = machines
        self._random = random.Random(f"scenario {seed}")
        self.history = history_module.History()
        self.spans = spans_module.Spans()
        self.core = core_module.Core(fleet, machines, self.spans)
        self.operators = operators_module.Operators(
            seed,
            self.history,
            lambda: self.core.listed,
            lambda from_s, until_s: self.spans.is_calm(
                self.core.list_targets(), from_s, until_s
            ),
        )
        self.readers = readers_module.Readers(lambda: self.core.instances)
        self.clients = [
            probe_clients.ProbeClient(
                f"p{number}", machines, self.history, seed
            )
            for number in range(size.clients)
        ]
        self.watch = stall_watch.StallWatch()
        self.node_faults = node_faults.NodeFaults(seed, machines, fleet)
        # No fault hits a node before its first start.
        for machine in machines[-LATE_MACHINES:]:
            self.node_faults.reserve(machine)
        self.losses = losses_module.Losses(
            self.core,
            core_faults.CoreFaults(
                self.core,
                links_module.Links(),
                self.spans,
                machines,
                self._random,
            ),
            self.node_faults,
            self.history,
            self.spans,
            self._random,
        )
        self.all_back_s = 0.0
        self.last_change_s = 0.0

    def play(self, length_s):
        """Starts everything, injects faults and waits for the recovery."""
        for instance in self.core.instances:
            self.core.watch_start(instance)
        self.watch.start()
        self.operators.start()
        self.readers.start()
        for machine in self.machines[:-LATE_MACHINES]:
            machine.start()
        for client in self.clients:
            client.start()
        self._wait_for_first_version()
        supervisor = threading.Thread(
            target=self.node_faults.supervise_forever, daemon=True
        )
        supervisor.start()
        self._inject(length_s)
        self._wait_until_all_are_back()
        recovered_s = self.all_back_s + verdict.RECOVERY_S + verdict.RECOVERED_S
        self._roll_nodes()
        time.sleep(max(recovered_s - time.monotonic(), 0.0))
        self.operators.stop()
        self.operators.join()
        self.last_change_s = time.monotonic()
        time.sleep(handling_checks.APPLY_S + verdict.RECOVERED_S)
        for client in self.clients:
            client.should_stop = True
        for client in self.clients:
            client.join()
        self.readers.stop()
        self.node_faults.stop_supervising()
        supervisor.join()
        self.watch.should_stop = True

    def _inject(self, length_s):
        late = threading.Thread(target=self._start_late_machines, daemon=True)
        late.start()
        nodes = threading.Thread(
            target=self.node_faults.run, args=(length_s,), daemon=True
        )
        nodes.start()
        self.losses.run(length_s)
        nodes.join()
        late.join()
        for machine in self.machines:
            machine.clear_faults()

    def _wait_until_all_are_back(self):
        targets = self.core.list_targets()
        while self.spans.get_calm_since_s(targets) > time.monotonic():
            time.sleep(0.1)
        self.all_back_s = time.monotonic()

    def _roll_nodes(self):
        """Ends some nodes as planned, one after the other, and nothing else."""
        time.sleep(spans_module.STABILITY_WINDOW_S)
        for machine in self._random.sample(self.machines, ROLLED_NODES):
            self.node_faults.reserve(machine)
            self.node_faults.end_node(machine, 0.0)
            self.node_faults.release(machine)

    def _start_late_machines(self):
        """Starts some nodes for the first time while changes come."""
        for machine in self.machines[-LATE_MACHINES:]:
            time.sleep(self._random.uniform(0.5, 3.0))
            machine.start()
            self.node_faults.release(machine)

    def _wait_for_first_version(self):
        until_s = time.monotonic() + FIRST_VERSION_S
        while time.monotonic() < until_s:
            if handling_checks.get_floor(self.history.possible, until_s):
                return
            time.sleep(0.1)
