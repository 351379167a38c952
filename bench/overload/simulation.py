"""Simulation of one scenario on one deployment."""

import random

from bench.overload import clients
from bench.overload import clock as clock_module
from bench.overload import context as context_module
from bench.overload import deployment as deployment_module
from bench.overload import egress
from bench.overload import node as node_module
from bench.overload import policy as policy_module
from bench.overload import recorder as recorder_module
from bench.overload import scenario as scenario_module
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import endpoint_record

# From a node through the shared state to the other nodes of its service.
SHARE_DELAY_S = 0.02
# Down time and warm-up of a backend server that the scenario restarts.
RESTART_DOWN_S = 1.0
RESTART_WARM_UP_S = 3.0
LOAD_LAG_S = 2.0


class Simulation:
    """All nodes and clients of one run, and the state that they share.

    Attributes:
        recorder: Collects what the figures are computed from.
        nodes: Nodes of each service, by name of the service.
    """

    def __init__(
        self,
        deployment: deployment_module.Deployment,
        scenario: scenario_module.Scenario,
        policy: policy_module.Policy,
        seed: int,
    ) -> None:
        """Creates nodes and clients and schedules the cause of overload.

        Args:
            deployment: Deployment to simulate.
            scenario: Scenario to run.
            policy: Policy of nodes and clients.
            seed: Seed of all random choices.
        """
        self.recorder = recorder_module.Recorder()
        self.nodes: dict[str, list[node_module.Node]] = {}
        self._clock = clock_module.Clock()
        self._context = context_module.Context(
            self._clock, random.Random(seed), policy, self.recorder
        )
        self._deployment = deployment
        self._scenario = scenario
        self._egresses: list[dict[str, egress.Egress]] = []
        for service in deployment.services:
            self.nodes[service.name] = self._make_nodes(service)
        for name, nodes in self.nodes.items():
            for node in nodes:
                node.egresses = self._make_egresses(
                    deployment.zone_delay_s, name, node.zone
                )
        self._clients = clients.Clients(
            self._context,
            deployment,
            scenario,
            self._make_egresses(deployment_module.CLIENT_DELAY_S, "", ""),
        )
        self._clock.call_at(scenario.begins_s, self._begin_cause)
        self._clock.call_at(scenario.ends_s, self._end_cause)

    def run(self) -> recorder_module.Recorder:
        """Runs to the end of the scenario and returns the recorder."""
        self._clock.run(self._scenario.run_s)
        self._clients.close()
        return self.recorder

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Sends an endpoint record to every caller of its service."""
        for egresses in self._egresses:
            if record.service in egresses:
                egresses[record.service].announce(record)

    def report(
        self, service: str, report: suspect_report.SuspectReport
    ) -> None:
        """Merges a quarantine report into every node of the service.

        The nodes have it after `SHARE_DELAY_S`.
        """
        self._clock.call_later(
            SHARE_DELAY_S, self._merge_report, service, report
        )

    def _make_nodes(
        self, service: deployment_module.Service
    ) -> list[node_module.Node]:
        return [
            node_module.Node(
                self._context,
                service,
                f"{service.name}-{number}",
                f"zone-{number % self._deployment.zones}",
                self,
            )
            for number in range(service.endpoints)
        ]

    def _make_egresses(
        self, delay_s: float, caller: str, zone: str
    ) -> dict[str, egress.Egress]:
        egresses = {
            name: egress.Egress(self._context, nodes, delay_s, zone)
            for name, nodes in self.nodes.items()
            if name != caller
        }
        self._egresses.append(egresses)
        return egresses

    def _merge_report(
        self, service: str, report: suspect_report.SuspectReport
    ) -> None:
        for node in self.nodes[service]:
            node.quarantine.merge(self._clock.now_s, [report])

    def _begin_cause(self) -> None:
        for node in self.nodes[self._deployment.deepest]:
            node.backend.slow_factor = self._scenario.slow_factor
        if self._scenario.has_false_load_hints:
            self._falsify_load_hints()
        if self._scenario.restarts:
            self._restart_a_third()

    def _end_cause(self) -> None:
        for node in self.nodes[self._deployment.deepest]:
            node.backend.slow_factor = 1.0

    def _falsify_load_hints(self) -> None:
        for nodes in self.nodes.values():
            for number, node in enumerate(nodes):
                node.backend.load_lag_s = LOAD_LAG_S
                node.backend.constant_load = (0.0, 1.0, None)[number % 3]

    def _restart_a_third(self) -> None:
        for nodes in self.nodes.values():
            for node in nodes[: max(len(nodes) // 3, 1)]:
                node.die(is_poison=False)
                self._clock.call_later(
                    RESTART_DOWN_S, node.restart, RESTART_WARM_UP_S
                )
