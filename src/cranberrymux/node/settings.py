"""Settings of `cranberrymux-node`."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from cranberrymux.models import socket_address
from cranberrymux.settings import field
from cranberrymux.settings import loader
from cranberrymux.telemetry import metrics_settings
from cranberrymux.telemetry import outcomes_settings

FIELDS = (
    field.Field("node_id", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("region", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("zone", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("address", field.Kind.TEXT, minimum=7, maximum=45),
    field.Field("ingress_port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field("egress_port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field("announce_port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field(
        "control_addresses", field.Kind.ADDRESS_LIST, minimum=1, maximum=64
    ),
    field.Field("cluster_key_file", field.Kind.TEXT, minimum=1),
    field.Field(
        "heartbeat_ms",
        field.Kind.INTEGER,
        default=1000,
        minimum=50,
        maximum=60000,
    ),
    field.Field(
        "control_timeout_ms",
        field.Kind.INTEGER,
        default=1000,
        minimum=50,
        maximum=60000,
    ),
    field.Field(
        "backend_lease_ms",
        field.Kind.INTEGER,
        default=3000,
        minimum=100,
        maximum=60000,
    ),
    field.Field(
        "default_timeout_ms",
        field.Kind.INTEGER,
        default=5000,
        minimum=1,
        maximum=600000,
    ),
    field.Field(
        "stop_limit_ms",
        field.Kind.INTEGER,
        default=30000,
        minimum=0,
        maximum=3600000,
    ),
    field.Field(
        "drain_grace_ms",
        field.Kind.INTEGER,
        default=1500,
        minimum=0,
        maximum=3000,
    ),
    field.Field(
        "body_limit_bytes",
        field.Kind.INTEGER,
        default=1 << 30,
        minimum=1024,
        maximum=1 << 40,
    ),
    field.Field(
        "buffered_body_bytes",
        field.Kind.INTEGER,
        default=65536,
        minimum=1024,
        maximum=16 << 20,
    ),
    *outcomes_settings.FIELDS,
    *metrics_settings.FIELDS,
    field.Field("seed", field.Kind.INTEGER, default=0, minimum=0),
)


class NodeSettings(NamedTuple):
    """Settings of one node; see docs/CONFIGURATION.md.

    Attributes:
        node_id: Unique name of the node; also the endpoint id of its backend
            server.
        region: Region of the instance.
        zone: Availability zone of the instance.
        address: IP address at which other nodes and clients reach this node.
        ingress_port: TCP port for calls of clients and other nodes.
        egress_port: TCP port on loopback for the backend server's calls.
        announce_port: TCP port on loopback for announcements, drains and
            the status.
        control_addresses: Addresses of the control instances, nearest first.
        cluster_key_file: Path of the file with the key that all processes
            share.
        heartbeat_ms: Time between two heartbeats to one control instance.
        control_timeout_ms: Longest wait for a control instance's answer.
        backend_lease_ms: Time after its last announcement at which the
            backend server counts as gone.
        default_timeout_ms: Timeout of calls whose client gives none.
        stop_limit_ms: Longest time that a stop waits for the calls in flight.
        drain_grace_ms: Time from the announcement of a drain during which new
            calls are still accepted, as other nodes may not know of it yet.
        body_limit_bytes: Longest request body that is accepted.
        buffered_body_bytes: Longest body that is buffered whole; longer ones
            are streamed, and their calls are not retried.
        outcomes_file: Path of the file that outcomes are recorded in; empty to
            record none.
        outcomes_file_bytes: Size at which a new file of outcomes is begun.
        outcomes_files: Number of files of outcomes that are kept.
        statsd_address: `ip:port` of the StatsD collector; empty for none.
        statsd_prefix: First part of the name of every metric.
        seed: Seed of every random choice; 0 for one from the system.
    """

    node_id: str
    region: str
    zone: str
    address: str
    ingress_port: int
    egress_port: int
    announce_port: int
    control_addresses: list[socket_address.SocketAddress]
    cluster_key_file: str
    heartbeat_ms: int
    control_timeout_ms: int
    backend_lease_ms: int
    default_timeout_ms: int
    stop_limit_ms: int
    drain_grace_ms: int
    body_limit_bytes: int
    buffered_body_bytes: int
    outcomes_file: str
    outcomes_file_bytes: int
    outcomes_files: int
    statsd_address: str
    statsd_prefix: str
    seed: int


def load(path: str) -> NodeSettings:
    """Reads and checks a settings file.

    Args:
        path: Path of the YAML file.

    Raises:
        SettingsError: A key is missing, unknown, of the wrong type or out of
            range.
    """
    return make(loader.load(path, FIELDS))


def make(values: Mapping[str, Any]) -> NodeSettings:
    """Builds settings from values that were checked against `FIELDS`."""
    return NodeSettings(**values)
