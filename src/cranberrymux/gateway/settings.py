"""Settings of a gateway."""

from typing import NamedTuple

from cranberrymux.gateway import dialect as dialect_module


class GatewaySettings(NamedTuple):
    """What a gateway is told at its start.

    Attributes:
        node_id: Name of this node, unique.
        ip: IP number of the instance.
        region: Region of the instance.
        zone: Availability zone of the instance.
        service: Service of the backend server beside it.
        backend_address: `ip:port` of that backend server.
        entry_address: `ip:port` for requests that begin here.
        hop_address: `ip:port` for requests that other nodes pass on.
        ready_address: `ip:port` that tells whether this node is ready.
        announce_address: `ip:port` for the backend server's announcements.
        metrics_port: Port on which metrics are served; 0 for none.
        control_instances: `ip:port` of control instances to begin with.
        cluster_key: Key of nodes and control instances.
        heartbeat_ms: Time between two heartbeats to one control instance.
        control_timeout_ms: Longest wait for a control instance.
        backend_lifetime_s: How long an announcement counts.
        stop_s: Longest time from SIGTERM to the end.
        repeat_ratio: Repeats that all nodes together may send, relative to
            requests.
        repeat_slack: Repeats that all nodes together may send beyond it.
        repeat_window_s: Time over which repeats are counted.
        dialect: Names of headers.
    """

    node_id: str
    ip: str
    region: str
    zone: str
    service: str
    backend_address: str
    entry_address: str
    hop_address: str
    ready_address: str
    announce_address: str
    metrics_port: int
    control_instances: tuple[str, ...]
    cluster_key: str
    heartbeat_ms: int
    control_timeout_ms: int
    backend_lifetime_s: float
    stop_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    dialect: dialect_module.Dialect
