"""The names of all log events."""

import enum


class Event(enum.Enum):
    """Every event that a program logs; docs/LOGS.md lists their fields.

    Loggers accept a member or its value:
    `log.info(event.Event.NODE_READY, node_id="a")`.
    """

    # Any program.
    FAULT = "fault"
    LIBRARY_FAULT = "library-fault"
    CANNOT_LISTEN = "cannot-listen"
    OUTCOMES_NOT_WRITTEN = "outcomes-not-written"

    # Nodes.
    NODE_READY = "node-ready"
    NODE_SERVING = "node-serving"
    NODE_DRAINING = "node-draining"
    NODE_STOPPED = "node-stopped"
    BACKEND_SERVER_LOST = "backend-server-lost"
    BACKEND_SERVER_DIED = "backend-server-died"
    SUSPECTS_SHARED = "suspects-shared"
    SUSPECTS_LEARNED = "suspects-learned"
    SUSPECT_REPORT_FAILED = "suspect-report-failed"
    SUSPECT_TRIAL = "suspect-trial"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_NOT_VALID = "configuration-not-valid"
    CONFIGURATION_NOT_CONFIRMED = "configuration-not-confirmed"
    CONFIGURATION_CONFIRMED = "configuration-confirmed"

    # Nodes that serve routes.
    NODE_STOPPING = "node-stopping"
    SETTINGS_RELOADED = "settings-reloaded"
    SETTINGS_CHANGED = "settings-changed"
    SETTINGS_NOT_READ = "settings-not-read"
    BACKEND_CHANGED = "backend-changed"
    ANNOUNCEMENT_OF_ANOTHER = "announcement-of-another"
    BACKEND_ASKED = "backend-asked"
    BACKEND_DEGRADED = "backend-degraded"
    BACKEND_RECOVERED = "backend-recovered"
    BACKEND_REFUSED = "backend-refused"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_ANSWER_LOST = "backend-answer-lost"
    BACKEND_RATE_LIMIT = "backend-rate-limit"
    BACKEND_LEAVING = "backend-leaving"
    BACKEND_SIGNAL_INVALID = "backend-signal-invalid"
    ENDPOINT_RATE_LIMIT = "endpoint-rate-limit"
    ENDPOINT_LEAVING = "endpoint-leaving"
    UNEXPECTED_ANSWER = "unexpected-answer"
    REQUEST_ENDED = "request-ended"
    REQUEST_SERVED = "request-served"
    REQUEST_TRIED_AGAIN = "request-tried-again"
    REQUEST_REFUSED_HERE = "request-refused-here"
    PRESSURE = "pressure"
    ZONE_SHARES = "zone-shares"
    QUOTA_OWNER = "quota-owner"
    ACCOUNTS_HELD_BACK = "accounts-held-back"
    CLASSES_HELD_BACK = "classes-held-back"
    CONNECTION_SHED = "connection-shed"

    # Control instances.
    MEMBERS_CHANGED = "members-changed"
    HANG_UP_IGNORED = "hang-up-ignored"
    CONTROL_READY = "control-ready"
    CONTROL_STOPPING = "control-stopping"
    CONTROL_STOPPED = "control-stopped"
    ENDPOINT_CHANGED = "endpoint-changed"
    ENDPOINT_LEASE_ENDED = "endpoint-lease-ended"
    CHANGE_ANSWERED = "change-answered"
    DRAIN_REQUESTED = "drain-requested"
    WRONG_CLUSTER_KEY = "wrong-cluster-key"
    WRONG_OPERATOR_TOKEN = "wrong-operator-token"
    BAD_FRAME = "bad-frame"
    BAD_PEER_MESSAGE = "bad-peer-message"
    CLUSTER_FOUNDED = "cluster-founded"
    REPLICA_JOINS = "replica-joins"
    MEMBERS_CHANGE = "members-change"
    ROLE_CHANGED = "role-changed"
    QUORUM_HEARD = "quorum-heard"
    QUORUM_LOST = "quorum-lost"
    STORAGE_FAILED = "storage-failed"
    DISK_FULL = "disk-full"
    DISK_HAS_ROOM = "disk-has-room"
    CLAIM_ABANDONED = "claim-abandoned"
    QUOTA_OWNER_STARTED = "quota-owner-started"
    QUOTA_USE = "quota-use"

    # Stand-in backend servers.
    STANDIN_READY = "standin-ready"
    STANDIN_STOPPED = "standin-stopped"
    STANDIN_ANNOUNCED = "standin-announced"
    STANDIN_ANNOUNCE_FAILED = "standin-announce-failed"
