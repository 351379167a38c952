"""Starts the control instances of a deployment for a measurement."""

import json
import pathlib
import time
from typing import Any
import urllib.request

import yaml

from cranberrymux.demo import deployment

_POLL_INTERVAL_S = 0.02
_LEADER_TIMEOUT_S = 20.0


class ControlSetup:
    """A running deployment with three control instances and a leader.

    Attributes:
        deployment: The deployment that holds the processes.
        ports: TCP port of each control instance for calls of nodes.
        key_file: Path of the file with the cluster key.
        key: The cluster key.
        leader_index: Index of the leader among the control instances.
    """

    def __init__(self, folder: str) -> None:
        """Starts the control instances and waits for a leader.

        Args:
            folder: An empty folder for settings, logs and state.

        Raises:
            RuntimeError: No leader with all instances as voters within 20 s.
        """
        self.deployment = deployment.Deployment(folder)
        self.deployment.start_control_instances()
        path = pathlib.Path(folder)
        self._settings = [
            yaml.safe_load((path / f"{control.name}.yaml").read_text())
            for control in self.deployment.control_instances
        ]
        self.ports = [settings["port"] for settings in self._settings]
        self.key_file: str = self._settings[0]["cluster_key_file"]
        self.key = pathlib.Path(self.key_file).read_text().strip()
        self.leader_index = self._wait_for_leader()

    @property
    def pids(self) -> list[int]:
        """Process ids of the control instances, in the order of `ports`."""
        return [control.pid for control in self.deployment.control_instances]

    def stop(self) -> None:
        """Stops every process of the deployment."""
        self.deployment.stop()

    def get_configuration_version(self) -> int:
        """Returns the last accepted version of the configuration."""
        status = self._request(self.leader_index, "GET", "/v1/status")
        return int(status["configuration_version"])

    def apply_document(self, document: str) -> int:
        """Applies a configuration document on top of the last version.

        Returns:
            The version of the document.

        Raises:
            urllib.error.HTTPError: The leader refused the change.
        """
        base = self.get_configuration_version()
        self._request(
            self.leader_index,
            "PUT",
            "/v1/configuration",
            {
                "change_id": f"capacity-{base}",
                "base_version": base,
                "author": "bench",
                "document": document,
            },
        )
        return base + 1

    def _wait_for_leader(self) -> int:
        deadline_s = time.monotonic() + _LEADER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for index in range(len(self.ports)):
                status = self._request(index, "GET", "/v1/status")
                members = status["log"]["members"]
                voters = sum(member["voter"] for member in members)
                is_leading = status["role"] == "leader" and status["vouched_ms"]
                if is_leading and voters == len(self.ports):
                    return index
            time.sleep(_POLL_INTERVAL_S)
        raise RuntimeError(
            "no control instance leads with all instances as voters after 20 s"
        )

    def _request(
        self, index: int, method: str, path: str, body: Any = None
    ) -> Any:
        address = self.deployment.operator_addresses[index]
        token = pathlib.Path(self.deployment.token_file).read_text().strip()
        request = urllib.request.Request(
            f"http://{address}{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {token}"},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)
