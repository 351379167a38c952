"""Builds node and control settings from the platform's settings file."""

from collections.abc import Callable
from collections.abc import Mapping
import math
import os
import tomllib
from typing import Any
from typing import TypeVar

import structlog

from cranberrymux import exceptions
from cranberrymux.control import control_settings
from cranberrymux.control import formation_settings
from cranberrymux.control import peer
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.platform import dialect
from cranberrymux.platform import durations

PATH_VARIABLE = "CRANBERRYMUX_SETTINGS"
# The platform provides no secret; its network is closed to others.
CLUSTER_KEY = "cranberrymux"
NODE_HEARTBEAT_MS = 800
CONTROL_TIMEOUT_MS = 800
LEASE_MS = 3000
PROPOSAL_TIMEOUT_MS = 3000
SNAPSHOT_ENTRIES = 200
SILENT_VOTER_S = 3.0
# Above a lease and six heartbeats. Removing one that is there harms nothing.
SURPLUS_SILENT_S = 0.6
# An election and some commits; well below the grace period of a stop.
LEAVE_LIMIT_S = 2.0
# Short, since restarts are frequent and no request is served before there is a
# leader.
REPLICA_HEARTBEAT_S = 0.1
REPLICA_LEASE_S = 0.5
ELECTION_SPREAD_S = 0.4
# Announcement intervals for which an announcement is valid.
MAXIMUM_MISSED_ANNOUNCEMENTS = 4
# Time kept free between the end of a stop and the end of the grace period.
GRACE_MARGIN_S = 0.6
# Part of the bound on keys that were taken away for which a node accepts the
# keys that it knows. The rest covers requests that are under way to endpoints.
KEY_LIFETIME_RATIO = 0.8
# Keys of which a change takes effect without a restart.
APPLIED_KEYS = frozenset({"network.seeds"})
_CLAIM_AGE_S = 3600

_Settings = TypeVar("_Settings")


def read() -> dict[str, Any]:
    """Reads the file named by the environment variable `PATH_VARIABLE`.

    Raises:
        SettingsError: The file cannot be read or is not valid TOML.
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
    """Returns the settings of a node.

    Args:
        values: Content of the settings file; see `read`.

    Raises:
        SettingsError: A key is missing or has an invalid value.
    """
    return _translate(_make_gateway_settings, values)


def make_control_settings(
    values: dict[str, Any],
) -> control_settings.ControlSettings:
    """Returns the settings of a control instance.

    Args:
        values: Content of the settings file; see `read`.

    Raises:
        SettingsError: A key is missing or has an invalid value.
    """
    return _translate(_make_control_settings, values)


def get_control_instances(values: Mapping[str, Any]) -> tuple[str, ...]:
    """Returns `ip:port` of the control instances that a changed file names.

    Args:
        values: Content of the settings file; without valid addresses in it,
            none are returned.
    """
    try:
        return _control_instances(values["network"])
    except (KeyError, ValueError, TypeError) as error:
        structlog.get_logger().warning("settings-not-read", detail=str(error))
        return ()


def _make_gateway_settings(
    values: dict[str, Any],
) -> gateway_settings.GatewaySettings:
    own = values["self"]
    network = values["network"]
    listen = network["listen"]
    bounds = values["terms"]["bounds"]
    announcement_interval_s = durations.parse_s(
        values["provider"]["beat_interval"]
    )
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
        # On a node, `control` is the address for announcements.
        announce_address=listen["control"],
        metrics_port=0,
        control_instances=_control_instances(network),
        cluster_key=CLUSTER_KEY,
        heartbeat_ms=NODE_HEARTBEAT_MS,
        control_timeout_ms=CONTROL_TIMEOUT_MS,
        backend_lifetime_s=MAXIMUM_MISSED_ANNOUNCEMENTS
        * announcement_interval_s,
        stop_s=durations.parse_s(bounds["grace"]) - GRACE_MARGIN_S,
        repeat_ratio=float(bounds["budget_ratio"]),
        repeat_slack=float(bounds["budget_slack"]),
        repeat_window_s=durations.parse_s(bounds["budget_window"]),
        dialect=dialect.DIALECT,
        is_first_start=bool(own["bootstrap"]),
        key_lifetime_s=_key_lifetime_s(bounds),
    )


def _key_lifetime_s(bounds: Mapping[str, Any]) -> float:
    if not bounds.get("strict_revoke", False):
        return math.inf
    return KEY_LIFETIME_RATIO * durations.parse_s(bounds["revoke"])


def _make_control_settings(
    values: dict[str, Any],
) -> control_settings.ControlSettings:
    own = values["self"]
    network = values["network"]
    port = network["internal_ports"][0]
    seeds = [
        seed
        for address in _control_instances(network)
        if (seed := peer.parse_address(address)) is not None
    ]
    own_peer = peer.Peer(own["ip"], own["ip"], port)
    tolerated_failures = values["terms"]["fault_tolerance"]["machines"]
    operator_address = socket_address.parse(network["listen"]["control"])
    if operator_address is None or not seeds:
        raise ValueError(
            "expected IP:PORT in network.listen.control and at least one in "
            "network.seeds"
        )
    return control_settings.ControlSettings(
        control_id=own["ip"],
        region=own["region"],
        zone=own["zone"],
        address=own["ip"],
        port=port,
        operator_port=operator_address.port,
        peers=(own_peer, *(seed for seed in seeds if seed != own_peer)),
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
        forming=formation_settings.FormationSettings(
            founder=seeds[0].control_id,
            is_first_start=bool(own["bootstrap"]),
            minimum_voters=2 * int(tolerated_failures) + 1,
            silent_voter_s=SILENT_VOTER_S,
            surplus_silent_s=SURPLUS_SILENT_S,
            leave_limit_s=LEAVE_LIMIT_S,
            heartbeat_s=REPLICA_HEARTBEAT_S,
            lease_s=REPLICA_LEASE_S,
            election_spread_s=ELECTION_SPREAD_S,
        ),
        quotas=_make_quota_settings(values["terms"].get("bounds", {})),
    )


def _make_quota_settings(
    bounds: Mapping[str, Any],
) -> quota_settings.QuotaSettings:
    defaults = quota_settings.QuotaSettings()
    window = bounds.get("quota_window")
    return quota_settings.QuotaSettings(
        defaults.window_s if window is None else durations.parse_s(window),
        float(bounds.get("quota_over", defaults.over)),
        float(bounds.get("quota_slack", defaults.slack)),
    )


def _control_instances(network: dict[str, Any]) -> tuple[str, ...]:
    """Returns `ip:port` for internal calls to the control instances.

    The seeds name the ports for operators; the port for internal calls is the
    first of `internal_ports`, the same on all instances.
    """
    port = int(network["internal_ports"][0])
    hosts = [seed.rpartition(":")[0] for seed in network["seeds"]]
    return tuple(f"{host}:{port}" for host in hosts)


def _translate(
    make: Callable[[dict[str, Any]], _Settings], values: dict[str, Any]
) -> _Settings:
    """Makes settings; raises `SettingsError` for any fault of the values."""
    try:
        return make(values)
    except (KeyError, ValueError, TypeError, IndexError) as error:
        raise _make_settings_error(error) from None


def _make_settings_error(error: Exception) -> exceptions.SettingsError:
    path = os.environ.get(PATH_VARIABLE, "")
    detail = f"valid values, found {type(error).__name__}: {error}"
    return exceptions.SettingsError(path, 1, "settings", detail)
