"""Settings of the control program."""

import pathlib
from typing import Any
from typing import NamedTuple

from cranberrymux import exceptions
from cranberrymux.control import formation_settings
from cranberrymux.control import peer
from cranberrymux.settings import field
from cranberrymux.settings import loader
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
    """What one control instance is told at its start.

    Attributes:
        control_id: Name of this instance, one of `peers`.
        region: Region of the instance.
        zone: Availability zone of the instance.
        address: IP number to listen on.
        port: TCP port for nodes and other control instances.
        operator_port: TCP port of the operators' HTTP API.
        peers: Every control instance, this one among them.
        data_folder: Folder that holds all state on disk.
        cluster_key_file: File with the key of nodes and control instances.
        operator_token_file: File with the operators' token.
        lease_ms: How long a heartbeat counts.
        peer_timeout_ms: Longest wait for another control instance.
        proposal_timeout_ms: Longest wait for a commit.
        snapshot_entries: Entries of the log after which a snapshot is taken.
        claim_accepted_age_s: Oldest request id that may be claimed.
        claim_retention_s: How long a claim is kept.
        claim_running_s: A claim that has run longer has an unknown outcome.
        statsd_address: `ip:port` of a collector of metrics; empty for none.
        statsd_prefix: First part of the metrics' names.
        forming: How the others are found if `peers` are only seeds; None if
            `peers` are all there are.
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

    @property
    def minimum_voters(self) -> int:
        """Voters below which no command is accepted."""
        if self.forming is not None:
            return self.forming.minimum_voters
        return len(self.peers) // 2 + 1

    @property
    def others(self) -> tuple[peer.Peer, ...]:
        """Every control instance but this one."""
        return tuple(
            one for one in self.peers if one.control_id != self.control_id
        )


def load(path: str) -> ControlSettings:
    """Reads a settings file.

    Raises:
        SettingsError: A key is wrong.
    """
    values = loader.load(path, FIELDS)
    values["peers"] = _read_peers(path, values)
    return ControlSettings(**values)


def _read_peers(path: str, values: dict[str, Any]) -> tuple[peer.Peer, ...]:
    peers = []
    for text in values["peers"]:
        one = peer.parse(text)
        if one is None:
            raise _fail(path, "peers", f"control_id=ip:port, not {text!r}")
        peers.append(one)
    names = [one.control_id for one in peers]
    if len(set(names)) < len(names):
        raise _fail(path, "peers", "each control_id once only")
    if values["control_id"] not in names:
        raise _fail(path, "control_id", "one of the names in peers")
    if values["claim_retention_s"] < 2 * values["claim_accepted_age_s"]:
        raise _fail(
            path,
            "claim_retention_s",
            "a whole number of seconds at least twice claim_accepted_age_s",
        )
    return tuple(peers)


def _fail(path: str, key: str, expected: str) -> exceptions.SettingsError:
    lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    found = [
        number
        for number, line in enumerate(lines, 1)
        if line.startswith(f"{key}:")
    ]
    return exceptions.SettingsError(
        path, found[0] if found else 1, key, expected
    )
