"""A deployment of control instances, nodes and stand-ins on loopback."""

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
    """Starts, queries and stops the processes of a small deployment.

    Attributes:
        control_instances: The started control instances.
        endpoints: The endpoints that `start_services` has started.
    """

    def __init__(self, folder: str) -> None:
        """Writes the key files and chooses ports; starts no process.

        Args:
            folder: Existing folder for settings files, logs and state.
        """
        self.control_instances: list[process.Process] = []
        self.endpoints: list[endpoint_processes.EndpointProcesses] = []
        self._processes: list[process.Process] = []
        self._folder = pathlib.Path(folder)
        self._key_file = self._write_file("cluster.key", secrets.token_hex(16))
        self._token_file = self._write_file(
            "operator.token", secrets.token_hex(16)
        )
        free_ports = ports.find_free_ports(2 * _CONTROL_COUNT)
        self._control_ports = free_ports[:_CONTROL_COUNT]
        self._operator_ports = free_ports[_CONTROL_COUNT:]

    @property
    def operator_addresses(self) -> list[str]:
        """`ip:port` of the operator API of each control instance."""
        return [f"127.0.0.1:{port}" for port in self._operator_ports]

    @property
    def token_file(self) -> str:
        """Path of the file with the operator token."""
        return self._token_file

    def start_control_instances(self) -> None:
        """Starts the control instances and waits until they are ready.

        Raises:
            ProcessError: A control instance ended or was not ready in time.
        """
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
            self.control_instances.append(
                self._start(name, "cranberrymux.control", settings)
            )
        for control in self.control_instances:
            control.wait_for_event("control-ready")

    def start_services(self, plans: Sequence[service_plan.ServicePlan]) -> None:
        """Starts the endpoints of the plans and waits until they serve.

        Args:
            plans: The services; each runs a node and a stand-in in each of its
                availability zones.

        Raises:
            ProcessError: A process ended or did not serve in time.
        """
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
        """Starts a node without a backend server and does not wait for it.

        Args:
            service: Name of the service, the first part of the node id.
            number: Number of the endpoint in the service, the second part.
            zone: Availability zone of the node.

        Returns:
            The node and a free port for its backend server.
        """
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

    def find_endpoints(
        self, service: str
    ) -> list[endpoint_processes.EndpointProcesses]:
        """Returns the endpoints of a service in the order of their start."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.service == service
        ]

    def ingress_addresses(self, service: str) -> list[str]:
        """Returns `ip:port` of the ingress of each node of a service."""
        return [
            f"127.0.0.1:{endpoint.ingress_port}"
            for endpoint in self.find_endpoints(service)
        ]

    def get_status(
        self, endpoint: endpoint_processes.EndpointProcesses
    ) -> dict[str, Any]:
        """Returns the status of a node; empty if it does not respond."""
        return local_http.read_json(endpoint.announce_port, "/v1/status") or {}

    def wait_until_in_force(self, version: int, limit_s: float = 7.0) -> float:
        """Polls until a version is in force at every running node.

        Args:
            version: Configuration version to wait for; a later one will do.
            limit_s: Seconds after which the wait fails.

        Returns:
            Seconds waited.

        Raises:
            ProcessError: The version was not in force in time.
        """
        began_s = time.monotonic()
        waiting = [
            endpoint for endpoint in self.endpoints if endpoint.node.is_running
        ]
        while time.monotonic() - began_s < limit_s:
            waiting = [
                endpoint
                for endpoint in waiting
                if self.get_status(endpoint).get("configuration_version", 0)
                < version
            ]
            if not waiting:
                return time.monotonic() - began_s
            time.sleep(_POLL_S)
        names = ", ".join(endpoint.node_id for endpoint in waiting)
        raise process.ProcessError(
            f"configuration version {version} not in force at: {names}"
        )

    def stop(self) -> None:
        """Kills every process that still runs, the last started first."""
        for started in reversed(self._processes):
            started.kill()

    def write_settings(self, name: str, values: Any) -> str:
        """Writes a settings file.

        Args:
            name: Name of the file in the deployment's folder, without
                extension.
            values: Settings by key.

        Returns:
            The path of the file.
        """
        return self._write_file(f"{name}.yaml", yaml.safe_dump(values))

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
                "children": [{"service": child} for child in plan.children],
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

    def _write_file(self, name: str, text: str) -> str:
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)
