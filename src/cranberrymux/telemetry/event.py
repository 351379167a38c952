"""The vocabulary of log events."""

import enum


class Event(enum.Enum):
    """Every event that a program logs; docs/LOGS.md tells the fields.

    A logger takes a member in place of a text:
    `log.info(event.Event.NODE_READY, port=7000)`.
    """

    # Life of a process.
    NODE_READY = "node-ready"
    NODE_STOPPED = "node-stopped"
    CONTROL_READY = "control-ready"
    CONTROL_STOPPED = "control-stopped"
    STANDIN_READY = "standin-ready"
    STANDIN_STOPPED = "standin-stopped"
    SETTINGS_WRONG = "settings-wrong"
    FAULT = "fault"
    LIBRARY_FAULT = "library-fault"

    # Backend servers and their endpoints.
    BACKEND_ANNOUNCED = "backend-announced"
    BACKEND_REFUSED = "backend-refused"
    BACKEND_LOST = "backend-lost"
    DRAIN_BEGUN = "drain-begun"
    DRAIN_DONE = "drain-done"
    DRAIN_LIMIT_REACHED = "drain-limit-reached"
    ENDPOINT_EJECTED = "endpoint-ejected"
    ENDPOINT_READMITTED = "endpoint-readmitted"

    # Calls.
    CALL_REFUSED = "call-refused"
    CALL_UNKNOWN = "call-unknown"
    CALL_CUT = "call-cut"
    CALL_CANCELLED = "call-cancelled"
    LEVEL_CHANGED = "level-changed"
    QUARANTINE_BEGUN = "quarantine-begun"
    QUARANTINE_ENDED = "quarantine-ended"

    # Control instances, leases and the configuration.
    LEASE_GRANTED = "lease-granted"
    LEASE_LOST = "lease-lost"
    CONTROL_UNREACHABLE = "control-unreachable"
    CONTROL_REACHED = "control-reached"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_STALE = "configuration-stale"
    CHANGE_ACCEPTED = "change-accepted"
    CHANGE_CONFLICT = "change-conflict"
    CHANGE_REFUSED = "change-refused"

    # Replicated log and its storage.
    LEADER_ELECTED = "leader-elected"
    LEADER_LOST = "leader-lost"
    REPLICA_CAUGHT_UP = "replica-caught-up"
    SNAPSHOT_TAKEN = "snapshot-taken"
    SNAPSHOT_INSTALLED = "snapshot-installed"
    STORAGE_REPAIRED = "storage-repaired"
    STORAGE_FAILED = "storage-failed"
    CLAIM_REFUSED = "claim-refused"

    # Peers and operators.
    PEER_CONNECTED = "peer-connected"
    PEER_LOST = "peer-lost"
    PEER_REFUSED = "peer-refused"
    OPERATOR_REFUSED = "operator-refused"

    # Telemetry itself.
    OUTCOMES_NOT_WRITTEN = "outcomes-not-written"

    # Stand-in backend servers.
    STANDIN_ANNOUNCED = "standin-announced"
    STANDIN_ANNOUNCE_FAILED = "standin-announce-failed"
