"""Control instances of a deployment, with what a bench needs to reach them."""

import json
import pathlib
import time
from typing import Any
import urllib.request

import yaml

from cranberrymux.demo import deployment

_POLL_S = 0.02
_LIMIT_S = 20.0


class ControlSetup:
    """Three control instances, started when made.

    Attributes:
        deployment: The deployment that holds the processes.
        key: The cluster key.
        ports: TCP port of each control instance.
    """

    def __init__(self, folder: str) -> None:
        """Starts the control instances and waits for a leader."""
        self.deployment = deployment.Deployment(folder)
        self.deployment.start_control_instances()
        path = pathlib.Path(folder)
        self._settings = [
            yaml.safe_load((path / f"{one.name}.yaml").read_text())
            for one in self.deployment.control_instances
        ]
        self.ports = [one["port"] for one in self._settings]
        self.key_file: str = self._settings[0]["cluster_key_file"]
        self.key = pathlib.Path(self.key_file).read_text().strip()
        self.leader = self._wait_for_leader()

    @property
    def pids(self) -> list[int]:
        """Process id of each control instance."""
        return [one.pid for one in self.deployment.control_instances]

    def stop(self) -> None:
        """Ends every process."""
        self.deployment.stop()

    def get_version(self) -> int:
        """Returns the last accepted version."""
        status = self._request(self.leader, "GET", "/v1/status")
        return int(status["configuration_version"])

    def apply(self, document: str) -> int:
        """Applies a document on top of the last version; returns its own."""
        base = self.get_version()
        self._request(
            self.leader,
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
        due_s = time.monotonic() + _LIMIT_S
        while time.monotonic() < due_s:
            for place in range(len(self.ports)):
                status = self._request(place, "GET", "/v1/status")
                members = status["log"]["members"]
                voters = sum(one["voter"] for one in members)
                leads = status["role"] == "leader" and status["vouched_ms"]
                if leads and voters == len(self.ports):
                    return place
            time.sleep(_POLL_S)
        raise RuntimeError("no leader of all voters")

    def _request(
        self, place: int, method: str, path: str, body: Any = None
    ) -> Any:
        address = self.deployment.operator_addresses[place]
        token = pathlib.Path(self.deployment.token_file).read_text().strip()
        request = urllib.request.Request(
            f"http://{address}{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {token}"},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)
