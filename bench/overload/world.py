"""Builds the fakes of one deployment and runs one scenario."""

import random

from bench.overload import clients
from bench.overload import clock as clock_module
from bench.overload import context as context_module
from bench.overload import deployment
from bench.overload import egress
from bench.overload import node as node_module
from bench.overload import policy as policy_module
from bench.overload import recorder as recorder_module
from bench.overload import scenario
from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.models import endpoint_record

SHARE_DELAY_S = 0.02  # From a node over shared state to its siblings.
DOWN_S = 1.0
WARM_S = 3.0
LAG_S = 2.0


class World:
    """All nodes and clients of one run.

    Attributes:
        recorder: What the run recorded.
        nodes: By service, its nodes.
    """

    def __init__(
        self,
        where: deployment.Deployment,
        plan: scenario.Scenario,
        policy: policy_module.Policy,
        seed: int,
    ) -> None:
        """Builds everything and schedules the cause."""
        self.recorder = recorder_module.Recorder()
        self.nodes: dict[str, list[node_module.Node]] = {}
        self._clock = clock_module.Clock()
        self._context = context_module.Context(
            self._clock, random.Random(seed), policy, self.recorder
        )
        self._where = where
        self._plan = plan
        self._egresses: list[dict[str, egress.Egress]] = []
        self._cleared: dict[str, int] = {}
        self._deaths: dict[str, set[death_report.DeathReport]] = {}
        for service in where.services:
            self.nodes[service.name] = self._make_nodes(service)
        for name, nodes in self.nodes.items():
            for node in nodes:
                node.egresses = self._make_egresses(
                    where.zone_delay_s, name, node.zone
                )
        self._clients = clients.Clients(
            self._context,
            where,
            plan,
            self._make_egresses(deployment.CLIENT_DELAY_S, "", ""),
        )
        self._clock.call_at(plan.begins_s, self._begin_cause)
        self._clock.call_at(plan.ends_s, self._end_cause)

    def run(self) -> recorder_module.Recorder:
        """Runs to the end and returns what was recorded."""
        self._clock.run(self._plan.run_s)
        self._clients.close()
        return self.recorder

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Tells every caller of an endpoint."""
        for egresses in self._egresses:
            if record.service in egresses:
                egresses[record.service].announce(record)

    def report(
        self,
        service: str,
        report: death_report.DeathReport | clear_report.ClearReport,
    ) -> None:
        """Counts a death or a clean run at every node of the service."""
        if isinstance(report, clear_report.ClearReport):
            known = self._cleared.get(report.key, 0)
            self._cleared[report.key] = max(known, report.deaths)
        else:
            self._deaths.setdefault(report.key, set()).add(report)
        self._clock.call_later(SHARE_DELAY_S, self._share, service, report.key)

    def _make_nodes(
        self, service: deployment.Service
    ) -> list[node_module.Node]:
        return [
            node_module.Node(
                self._context,
                service,
                f"{service.name}-{number}",
                f"zone-{number % self._where.zones}",
                self,
            )
            for number in range(service.endpoints)
        ]

    def _make_egresses(
        self, delay_s: float, caller: str, zone: str
    ) -> dict[str, egress.Egress]:
        made = {
            name: egress.Egress(self._context, nodes, delay_s, zone)
            for name, nodes in self.nodes.items()
            if name != caller
        }
        self._egresses.append(made)
        return made

    def _share(self, service: str, key: str) -> None:
        deaths = self._deaths.get(key, set())
        cleared = self._cleared.get(key, 0)
        for node in self.nodes[service]:
            node.quarantine.merge_report(
                self._clock.now_s,
                key,
                len(deaths),
                cleared,
                was_sole=any(one.was_sole for one in deaths),
            )

    def _begin_cause(self) -> None:
        for node in self.nodes[self._where.deepest]:
            node.backend.slow_factor = self._plan.slow_factor
        if self._plan.hints_lie:
            self._make_hints_lie()
        if self._plan.restarts:
            self._restart_a_third()

    def _end_cause(self) -> None:
        for node in self.nodes[self._where.deepest]:
            node.backend.slow_factor = 1.0

    def _make_hints_lie(self) -> None:
        for nodes in self.nodes.values():
            for number, node in enumerate(nodes):
                node.backend.lag_s = LAG_S
                node.backend.lie = (0.0, 1.0, None)[number % 3]

    def _restart_a_third(self) -> None:
        for nodes in self.nodes.values():
            for node in nodes[: max(len(nodes) // 3, 1)]:
                node.die(is_poison=False)
                self._clock.call_later(DOWN_S, node.come_back, WARM_S)
