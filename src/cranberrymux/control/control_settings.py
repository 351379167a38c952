"""Settings of a control instance."""

import pathlib
from typing import Any
from typing import NamedTuple

from cranberrymux import exceptions
from cranberrymux.control import formation_settings
from cranberrymux.control import peer
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.settings import field
from cranberrymux.telemetry import metrics_settings

FIELDS = (
    field.Field("control_id", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("region", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("zone", field.Kind.TEXT, minimum=1, maximum=64),
    field.Field("address", field.Kind.TEXT, minimum=2, maximum=45),
    field.Field("port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field("operator_port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field("peers", field.Kind.TEXT_LIST, minimum=1, maximum=7),
    field.Field("data_folder", field.Kind.TEXT, minimum=1),
    field.Field("cluster_key_file", field.Kind.TEXT, minimum=1),
    field.Field("operator_token_file", field.Kind.TEXT, minimum=1),
    field.Field(
        "lease_ms",
        field.Kind.INTEGER,
        default=3000,
        minimum=200,
        maximum=60_000,
    ),
    field.Field(
        "peer_timeout_ms",
        field.Kind.INTEGER,
        default=1000,
        minimum=50,
        maximum=10_000,
    ),
    field.Field(
        "proposal_timeout_ms",
        field.Kind.INTEGER,
        default=2000,
        minimum=100,
        maximum=30_000,
    ),
    field.Field(
        "snapshot_entries",
        field.Kind.INTEGER,
        default=10_000,
        minimum=10,
        maximum=100_000,
    ),
    field.Field(
        "claim_accepted_age_s",
        field.Kind.INTEGER,
        default=3600,
        minimum=60,
        maximum=86_400,
    ),
    field.Field(
        "claim_retention_s",
        field.Kind.INTEGER,
        default=7200,
        minimum=120,
        maximum=604_800,
    ),
    field.Field(
        "claim_running_s",
        field.Kind.INTEGER,
        default=600,
        minimum=1,
        maximum=86_400,
    ),
    *metrics_settings.FIELDS,
)


class ControlSettings(NamedTuple):
    """Settings of one control instance; see docs/CONFIGURATION.md.

    Attributes:
        control_id: Name of this instance, one of `peers`.
        region: Region of the instance.
        zone: Availability zone of the instance.
        address: IP address to listen on.
        port: TCP port for nodes and other control instances.
        operator_port: TCP port of the operators' HTTP API.
        peers: The control instances, including this one; the first founds the
            cluster. Only seeds if `forming` is given.
        data_folder: Folder for all state on disk.
        cluster_key_file: File with the key that nodes and control instances
            share.
        operator_token_file: File with the operators' bearer token.
        lease_ms: Lease of a node and of its endpoints, in milliseconds; each
            heartbeat renews it.
        peer_timeout_ms: Timeout in milliseconds of a call to another control
            instance.
        proposal_timeout_ms: Longest wait for the commit of a command, in
            milliseconds.
        snapshot_entries: Number of log entries after which a snapshot is
            taken.
        claim_accepted_age_s: Largest age in seconds of a request id whose
            calls are granted.
        claim_retention_s: Seconds for which a claim is kept after its grant.
        claim_running_s: Seconds after its grant at which a call that has not
            ended is taken to have an unknown outcome.
        statsd_address: `ip:port` of the statsd server; empty for none.
        statsd_prefix: First part of every metric's name.
        quotas: Bounds on the quotas of client accounts.
        forming: How a cluster forms from seeds; None if `peers` lists every
            control instance.
    """

    control_id: str
    region: str
    zone: str
    address: str
    port: int
    operator_port: int
    peers: tuple[peer.Peer, ...]
    data_folder: str
    cluster_key_file: str
    operator_token_file: str
    lease_ms: int
    peer_timeout_ms: int
    proposal_timeout_ms: int
    snapshot_entries: int
    claim_accepted_age_s: int
    claim_retention_s: int
    claim_running_s: int
    statsd_address: str
    statsd_prefix: str
    forming: formation_settings.FormationSettings | None = None
    quotas: quota_settings.QuotaSettings = quota_settings.QuotaSettings()

    @property
    def minimum_voters(self) -> int:
        """Fewest voters with which a new log accepts commands."""
        if self.forming is not None:
            return self.forming.minimum_voters
        return len(self.peers) // 2 + 1

    @property
    def minimum_voters_in_use(self) -> int:
        """Fewest voters with which a log in use accepts commands.

        A voter whose disk is lost is removed before its successor votes.
        """
        if self.forming is not None:
            return self.forming.minimum_voters // 2 + 1
        return self.minimum_voters

    @property
    def other_peers(self) -> tuple[peer.Peer, ...]:
        """The control instances of `peers` without this one."""
        return tuple(
            member
            for member in self.peers
            if member.control_id != self.control_id
        )


def load(path: str) -> ControlSettings:
    """Reads and checks a settings file.

    Args:
        path: The YAML file.

    Raises:
        SettingsError: The file cannot be read, or a key is missing, unknown or
            has an invalid value.
    """
    # The platform's programs read no YAML, which takes 0.7 MB of memory.
    from cranberrymux.settings import loader  # noqa: PLC0415

    values = loader.load(path, FIELDS)
    values["peers"] = _parse_peers(path, values)
    return ControlSettings(**values)


def _parse_peers(path: str, values: dict[str, Any]) -> tuple[peer.Peer, ...]:
    """Parses `peers`; checks it and the claim ages against other keys."""
    peers = []
    for text in values["peers"]:
        parsed = peer.parse(text)
        if parsed is None:
            raise _make_error(
                path, "peers", f"control_id=ip:port, not {text!r}"
            )
        peers.append(parsed)
    names = [member.control_id for member in peers]
    if len(set(names)) < len(names):
        raise _make_error(path, "peers", "each control_id once only")
    if values["control_id"] not in names:
        raise _make_error(path, "control_id", "one of the names in peers")
    if values["claim_retention_s"] < 2 * values["claim_accepted_age_s"]:
        raise _make_error(
            path,
            "claim_retention_s",
            "a whole number of seconds at least twice claim_accepted_age_s",
        )
    return tuple(peers)


def _make_error(path: str, key: str, expected: str) -> exceptions.SettingsError:
    lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    line_numbers = [
        number
        for number, line in enumerate(lines, 1)
        if line.startswith(f"{key}:")
    ]
    return exceptions.SettingsError(
        path, line_numbers[0] if line_numbers else 1, key, expected
    )
