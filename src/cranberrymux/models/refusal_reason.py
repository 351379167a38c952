"""Reasons that a node gives for an answer of its own."""

import enum


class RefusalReason(enum.Enum):
    """Sentinels for why a node, not a backend server, made the answer."""

    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    DEADLINE_EXPIRED = "deadline-expired"
    DRAINING = "draining"
    NO_ENDPOINT = "no-endpoint"
    NO_PLACE = "no-place"
    QUARANTINED = "quarantined"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    ALREADY_RAN = "already-ran"
    ID_REUSED = "id-reused"
    ID_EXPIRED = "id-expired"
    CONFIGURATION_STALE = "configuration-stale"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated"
    NOT_STARTED = "not-started"
