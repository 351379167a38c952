"""Reasons for an answer that a node generates itself."""

import enum


class RefusalReason(enum.Enum):
    """Why a node, and not a backend server, generated an answer.

    Attributes:
        OVERLOADED: Shed by priority, or refused to protect an endpoint.
        QUEUE_FULL: The endpoint's queue had no room for the call.
        DEADLINE_EXPIRED: The call's deadline passed before the answer was
            complete.
        DRAINING: The endpoint is shutting down and accepts no new calls.
        NO_ENDPOINT: No known endpoint of the service accepts new calls.
        NO_PLACE: No endpoint matches the `place` selectors of the call, or the
            endpoint that received the call does not.
        QUARANTINED: Too many backend servers died while running the call.
        CLAIM_UNAVAILABLE: No quorum of control instances granted the claim
            that a call must hold to run at most once.
        ALREADY_RAN: The call is running or may have run and is not run again.
        ID_REUSED: The request id belongs to a different call.
        ID_EXPIRED: The request id is too old or is no UUID of version 7.
        CONFIGURATION_STALE: The node's configuration is outdated, or no
            control instance has confirmed it recently enough.
        BAD_REQUEST: The request or one of its headers is not valid.
        TOO_LARGE: The request exceeds a size limit.
        CANCELLED: The caller was already told that this attempt was not run.
        CONNECTION_LOST: The connection failed before the answer began.
        TRUNCATED: The connection failed after the answer had begun.
        NOT_STARTED: The endpoint cannot run calls yet: its backend server or
            its configuration is missing, or the call is for another endpoint.
    """

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
