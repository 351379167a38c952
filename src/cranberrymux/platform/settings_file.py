"""Reads the platform's settings file into our settings."""

from collections.abc import Callable
import os
import tomllib
from typing import Any
from typing import TypeVar

import structlog

from cranberrymux import exceptions
from cranberrymux.control import control_settings
from cranberrymux.control import forming
from cranberrymux.control import peer
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.platform import dialect
from cranberrymux.platform import durations

PATH_VARIABLE = "CRANBERRYMUX_SETTINGS"
# The platform gives no secret; its network is closed to others.
CLUSTER_KEY = "cranberrymux"
NODE_HEARTBEAT_MS = 800
CONTROL_TIMEOUT_MS = 800
LEASE_MS = 3000
PROPOSAL_TIMEOUT_MS = 3000
SNAPSHOT_ENTRIES = 200
SILENT_VOTER_S = 3.0
# Restarts are frequent here, and nobody is served before there is a leader.
REPLICA_HEARTBEAT_S = 0.1
REPLICA_LEASE_S = 0.5
ELECTION_SPREAD_S = 0.4
MISSED_BEATS = 4
STOP_MARGIN_S = 0.6
_CLAIM_AGE_S = 3600

_Settings = TypeVar("_Settings")


def read() -> dict[str, Any]:
    """Reads the file that the environment names.

    Raises:
        SettingsError: It is absent, cut or no TOML.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(path, 1, "file", str(error)) from None


def make_gateway_settings(
    values: dict[str, Any],
) -> gateway_settings.GatewaySettings:
    """Returns the settings of the program beside a backend server.

    Raises:
        SettingsError: A key is absent or of another form.
    """
    return _translate(_make_gateway_settings, values)


def make_control_settings(
    values: dict[str, Any],
) -> control_settings.ControlSettings:
    """Returns the settings of a control instance.

    Raises:
        SettingsError: A key is absent or of another form.
    """
    return _translate(_make_control_settings, values)


def read_control_instances() -> tuple[str, ...]:
    """Returns `ip:port` of the control instances that the file names now.

    An unreadable file names none; the next read may find it whole.
    """
    try:
        return _control_instances(read()["network"])
    except (exceptions.SettingsError, KeyError, ValueError, TypeError) as error:
        structlog.get_logger().warning("settings-not-read", detail=str(error))
        return ()


def _make_gateway_settings(
    values: dict[str, Any],
) -> gateway_settings.GatewaySettings:
    own = values["self"]
    network = values["network"]
    listen = network["listen"]
    bounds = values["terms"]["bounds"]
    beat_s = durations.read_s(values["provider"]["beat_interval"])
    return gateway_settings.GatewaySettings(
        node_id=own["node"],
        ip=own["ip"],
        region=own["region"],
        zone=own["zone"],
        service=own["service"],
        backend_address=own["app_addr"],
        entry_address=listen["outbound"],
        hop_address=listen["inbound"],
        ready_address=listen["ready"],
        # Here `control` takes what the backend server says of itself.
        announce_address=listen["control"],
        metrics_port=0,
        control_instances=_control_instances(network),
        cluster_key=CLUSTER_KEY,
        heartbeat_ms=NODE_HEARTBEAT_MS,
        control_timeout_ms=CONTROL_TIMEOUT_MS,
        backend_lifetime_s=MISSED_BEATS * beat_s,
        stop_s=durations.read_s(bounds["grace"]) - STOP_MARGIN_S,
        repeat_ratio=float(bounds["budget_ratio"]),
        repeat_slack=float(bounds["budget_slack"]),
        repeat_window_s=durations.read_s(bounds["budget_window"]),
        dialect=dialect.DIALECT,
    )


def _make_control_settings(
    values: dict[str, Any],
) -> control_settings.ControlSettings:
    own = values["self"]
    network = values["network"]
    port = network["internal_ports"][0]
    seeds = [
        one
        for text in _control_instances(network)
        if (one := peer.at_address(text)) is not None
    ]
    here = peer.Peer(own["ip"], own["ip"], port)
    lost = values["terms"]["fault_tolerance"]["machines"]
    operators = socket_address.parse(network["listen"]["control"])
    if operators is None or not seeds:
        raise ValueError("network.listen.control and network.seeds")
    return control_settings.ControlSettings(
        control_id=own["ip"],
        region=own["region"],
        zone=own["zone"],
        address=own["ip"],
        port=port,
        operator_port=operators.port,
        peers=(here, *(one for one in seeds if one != here)),
        data_folder=own["data_dir"],
        cluster_key_file="",
        operator_token_file="",
        lease_ms=LEASE_MS,
        peer_timeout_ms=CONTROL_TIMEOUT_MS,
        proposal_timeout_ms=PROPOSAL_TIMEOUT_MS,
        snapshot_entries=SNAPSHOT_ENTRIES,
        claim_accepted_age_s=_CLAIM_AGE_S,
        claim_retention_s=2 * _CLAIM_AGE_S,
        claim_running_s=_CLAIM_AGE_S,
        statsd_address="",
        statsd_prefix="",
        forming=forming.Forming(
            founder=seeds[0].control_id,
            is_first_start=bool(own["bootstrap"]),
            minimum_voters=2 * int(lost) + 1,
            silent_voter_s=SILENT_VOTER_S,
            heartbeat_s=REPLICA_HEARTBEAT_S,
            lease_s=REPLICA_LEASE_S,
            election_spread_s=ELECTION_SPREAD_S,
        ),
    )


def _control_instances(network: dict[str, Any]) -> tuple[str, ...]:
    """`ip:port` at which the seeds talk to our processes.

    The platform gives the address for operators; our own port is the first
    internal one, the same on all instances.
    """
    port = int(network["internal_ports"][0])
    hosts = [text.rpartition(":")[0] for text in network["seeds"]]
    return tuple(f"{host}:{port}" for host in hosts)


def _translate(
    make: Callable[[dict[str, Any]], _Settings], values: dict[str, Any]
) -> _Settings:
    """Makes settings; whatever is wrong with the file is one kind of error."""
    try:
        return make(values)
    except (KeyError, ValueError, TypeError, IndexError) as error:
        raise _fail(error) from None


def _fail(error: Exception) -> exceptions.SettingsError:
    path = os.environ.get(PATH_VARIABLE, "")
    detail = f"{type(error).__name__}: {error}"
    return exceptions.SettingsError(path, 1, "settings", detail)
