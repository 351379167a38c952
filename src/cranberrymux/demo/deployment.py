"""Starts and stops the processes of a small deployment."""

from collections.abc import Sequence
import pathlib
import secrets
import time
from typing import Any

import yaml

from cranberrymux.demo import endpoint_processes
from cranberrymux.demo import local_http
from cranberrymux.demo import ports
from cranberrymux.demo import process
from cranberrymux.demo import service_plan

_CONTROL_COUNT = 3
_HEARTBEAT_MS = 250
_POLL_S = 0.05
_REGION = "cascadia"


class Deployment:
    """Control instances, nodes and stand-ins on this instance.

    Attributes:
        controls: The control instances.
        endpoints: Nodes with their stand-ins.
    """

    def __init__(self, folder: str) -> None:
        """Makes the keys; starts nothing.

        Args:
            folder: An empty folder for settings, logs and state.
        """
        self.controls: list[process.Process] = []
        self.endpoints: list[endpoint_processes.EndpointProcesses] = []
        self._processes: list[process.Process] = []
        self._folder = pathlib.Path(folder)
        self._key_file = self._write("cluster.key", secrets.token_hex(16))
        self._token_file = self._write("operator.token", secrets.token_hex(16))
        found = ports.find_free_ports(2 * _CONTROL_COUNT)
        self._control_ports = found[:_CONTROL_COUNT]
        self._operator_ports = found[_CONTROL_COUNT:]

    @property
    def operator_addresses(self) -> list[str]:
        """`ip:port` of the operators' API of each control instance."""
        return [f"127.0.0.1:{port}" for port in self._operator_ports]

    @property
    def token_file(self) -> str:
        """File with the operators' token."""
        return self._token_file

    def start_controls(self) -> None:
        """Starts the control instances and waits until they listen."""
        peers = [
            f"control-{number}=127.0.0.1:{port}"
            for number, port in enumerate(self._control_ports)
        ]
        for number, port in enumerate(self._control_ports):
            name = f"control-{number}"
            settings = {
                "control_id": name,
                "region": _REGION,
                "zone": f"zone-{number}",
                "address": "127.0.0.1",
                "port": port,
                "operator_port": self._operator_ports[number],
                "peers": peers,
                "data_folder": str(self._folder / f"{name}.data"),
                "cluster_key_file": self._key_file,
                "operator_token_file": self._token_file,
            }
            self.controls.append(
                self._start(name, "cranberrymux.control", settings)
            )
        for control in self.controls:
            control.wait_for_event("control-ready")

    def start_services(self, plans: Sequence[service_plan.ServicePlan]) -> None:
        """Starts a node and a stand-in for each endpoint of the plans."""
        started = [
            self._start_endpoint(plan, number, zone)
            for plan in plans
            for number, zone in enumerate(plan.zones)
        ]
        for endpoint in started:
            if endpoint.backend is not None:
                endpoint.backend.wait_for_event("standin-ready")
            endpoint.node.wait_for_event("node-serving")
        self.endpoints.extend(started)

    def start_node(
        self, service: str, number: int, zone: str
    ) -> endpoint_processes.EndpointProcesses:
        """Starts a node without a backend server beside it."""
        name = f"{service}-{number}"
        ingress_port, egress_port, announce_port, backend_port = (
            ports.find_free_ports(4)
        )
        node = self._start(
            f"node-{name}",
            "cranberrymux.node",
            {
                "node_id": name,
                "region": _REGION,
                "zone": zone,
                "address": "127.0.0.1",
                "ingress_port": ingress_port,
                "egress_port": egress_port,
                "announce_port": announce_port,
                "control_addresses": [
                    f"127.0.0.1:{port}" for port in self._control_ports
                ],
                "cluster_key_file": self._key_file,
                "heartbeat_ms": _HEARTBEAT_MS,
            },
        )
        return endpoint_processes.EndpointProcesses(
            service,
            name,
            zone,
            ingress_port,
            egress_port,
            announce_port,
            backend_port,
            node,
            None,
        )

    def find(self, service: str) -> list[endpoint_processes.EndpointProcesses]:
        """Returns the endpoints of a service."""
        return [one for one in self.endpoints if one.service == service]

    def ingress_addresses(self, service: str) -> list[str]:
        """Returns `ip:port` of each node of a service."""
        return [f"127.0.0.1:{one.ingress_port}" for one in self.find(service)]

    def get_status(
        self, endpoint: endpoint_processes.EndpointProcesses
    ) -> dict[str, Any]:
        """Asks a node for its status; empty if it does not answer."""
        return local_http.read_json(endpoint.announce_port, "/v1/status") or {}

    def wait_for_version(self, version: int, limit_s: float = 7.0) -> float:
        """Polls until every running node has a version; returns the time.

        Raises:
            ProcessError: The limit has passed.
        """
        began_s = time.monotonic()
        waiting = [one for one in self.endpoints if one.node.is_running]
        while time.monotonic() - began_s < limit_s:
            waiting = [
                one
                for one in waiting
                if self.get_status(one).get("configuration_version", 0)
                < version
            ]
            if not waiting:
                return time.monotonic() - began_s
            time.sleep(_POLL_S)
        names = ", ".join(one.node_id for one in waiting)
        raise process.ProcessError(f"not at version {version}: {names}")

    def stop(self) -> None:
        """Ends every process that still runs."""
        for one in reversed(self._processes):
            one.kill()

    def write_settings(self, name: str, values: Any) -> str:
        """Writes a settings file; returns its path."""
        return self._write(f"{name}.yaml", yaml.safe_dump(values))

    def _start_endpoint(
        self, plan: service_plan.ServicePlan, number: int, zone: str
    ) -> endpoint_processes.EndpointProcesses:
        started = self.start_node(plan.service, number, zone)
        backend = self._start(
            f"standin-{started.node_id}",
            "cranberrymux.standin",
            {
                "service": plan.service,
                "endpoint": started.node_id,
                "port": started.backend_port,
                "announce_url": f"http://127.0.0.1:{started.announce_port}",
                "egress_url": f"http://127.0.0.1:{started.egress_port}",
                "slots": plan.slots,
                "service_time_ms": plan.service_time_ms,
                "service_time_spread": plan.spread,
                "children": [{"service": one} for one in plan.children],
                "labels": dict(plan.labels),
                "crash_marker": plan.crash_marker,
            },
        )
        return started._replace(backend=backend)

    def _start(self, name: str, module: str, values: Any) -> process.Process:
        path = self.write_settings(name, values)
        started = process.Process(
            name, module, ["--settings", path], str(self._folder)
        )
        self._processes.append(started)
        return started

    def _write(self, name: str, text: str) -> str:
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)
