"""Requests to the stand-in of an endpoint that bypass its node."""

import json
from typing import Any

from cranberrymux.demo import endpoint_processes
from cranberrymux.demo import local_http


def count_runs(
    endpoint: endpoint_processes.EndpointProcesses, request_id: str
) -> int:
    """Returns how often the stand-in has begun to run one request."""
    return int(_read_counters(endpoint)["runs"].get(request_id, 0))


def count_started(endpoint: endpoint_processes.EndpointProcesses) -> int:
    """Returns how many calls the stand-in has accepted since its start."""
    return int(_read_counters(endpoint)["started"])


def set_service_time(
    endpoint: endpoint_processes.EndpointProcesses, service_time_ms: float
) -> None:
    """Changes the mean service time of the running stand-in."""
    body = json.dumps({"service_time_ms": service_time_ms})
    local_http.send(endpoint.backend_port, "POST", "/behaviour", body)


def is_listening(endpoint: endpoint_processes.EndpointProcesses) -> bool:
    """Returns True if the stand-in responds."""
    return local_http.read_json(endpoint.backend_port, "/load") is not None


def _read_counters(
    endpoint: endpoint_processes.EndpointProcesses,
) -> dict[str, Any]:
    return local_http.read_json(endpoint.backend_port, "/counters") or {}
