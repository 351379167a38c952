"""Settings of a gateway."""

import math
from typing import NamedTuple

from cranberrymux.decisions.zones import zone_settings
from cranberrymux.gateway import dialect as dialect_module


class GatewaySettings(NamedTuple):
    """Addresses, times and limits of a gateway, fixed at its start.

    Attributes:
        node_id: Name of this node, unique.
        ip: IP address of the instance.
        region: Region of the instance.
        zone: Availability zone of the instance.
        service: Service of the backend server beside the node.
        backend_address: `ip:port` of that backend server.
        entry_address: `ip:port` for requests of clients.
        hop_address: `ip:port` for requests that nodes pass on to this one.
        ready_address: `ip:port` for readiness checks.
        announce_address: `ip:port` for the backend server's announcements.
        metrics_port: TCP port on which metrics are served; 0 for none.
        control_instances: `ip:port` of the control instances to contact first.
        cluster_key: Secret shared by nodes and control instances.
        heartbeat_ms: Milliseconds between two heartbeats to one control
            instance.
        control_timeout_ms: Maximum milliseconds to wait for an answer of a
            control instance.
        backend_lifetime_s: Seconds for which an announcement is valid.
        stop_s: Maximum seconds from SIGTERM to the exit.
        repeat_ratio: Repeats that all nodes together may send per first
            request.
        repeat_slack: Repeats beyond that in a window, over all nodes.
        repeat_window_s: Length of the window in seconds.
        zones: What it costs a request to leave the zone.
        dialect: Names of the HTTP headers.
        is_first_start: True if no process of this node ran before.
        key_lifetime_s: Seconds for which a node accepts the keys of a
            configuration after it was last confirmed as the newest; infinite
            for any time.
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
    zones: zone_settings.ZoneSettings = zone_settings.ZoneSettings()
    is_first_start: bool = False
    key_lifetime_s: float = math.inf
