"""Addresses, settings and routes of the two nodes of the benchmark."""

from typing import NamedTuple

from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.platform import dialect

HOST = "records.example"
PATH = "/read/x"
SERVICE = "deep"
_IP = "127.0.0.1"


class NodePorts(NamedTuple):
    """Ports of one node and of the backend server beside it.

    Attributes:
        entry: Port for clients.
        hop: Port for other nodes.
        backend: Port of the backend server.
    """

    entry: int
    hop: int
    backend: int


def make_settings(
    node_id: str, service: str, ports: NodePorts
) -> gateway_settings.GatewaySettings:
    """Returns the settings of one node."""
    return gateway_settings.GatewaySettings(
        node_id=node_id,
        ip=_IP,
        region="r",
        zone="z",
        service=service,
        backend_address=f"{_IP}:{ports.backend}",
        entry_address=f"{_IP}:{ports.entry}",
        hop_address=f"{_IP}:{ports.hop}",
        ready_address=f"{_IP}:0",
        announce_address=f"{_IP}:0",
        metrics_port=0,
        control_instances=(),
        cluster_key="key",
        heartbeat_ms=500,
        control_timeout_ms=500,
        backend_lifetime_s=5.0,
        stop_s=5.0,
        repeat_ratio=0.2,
        repeat_slack=40.0,
        repeat_window_s=10.0,
        dialect=dialect.DIALECT,
        is_first_start=True,
    )


def make_configuration() -> str:
    """Returns a configuration with one route to `SERVICE`."""
    read = route.Route(
        name="read",
        host=HOST,
        prefix="/read/",
        targets=(route.Target(SERVICE, 1.0),),
        repeatability=route.Repeatability.IDEMPOTENT,
        attempts=2,
        timeout_s=1.0,
        objective_s=1.5,
        priority=1,
    )
    return route_document.dump(
        route_document.RouteDocument(
            1,
            (read,),
            (backend_service.BackendService(SERVICE, "/health", 99),),
            client_limits.ClientLimits(),
            "{}",
        )
    )
