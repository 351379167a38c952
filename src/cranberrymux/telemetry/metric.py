"""The definitions of all metrics."""

import enum

from cranberrymux.telemetry import metric_definition
from cranberrymux.telemetry import metric_kind

_Kind = metric_kind.MetricKind
_Definition = metric_definition.MetricDefinition


class Metric(enum.Enum):
    """Every metric that a program sends; docs/METRICS.md has their uses."""

    CALLS = _Definition(
        "node.calls", _Kind.COUNTER, "calls", ("service", "class", "answer")
    )
    REFUSALS = _Definition(
        "node.refusals",
        _Kind.COUNTER,
        "calls",
        ("service", "class", "reason"),
    )
    CALL_TIME = _Definition(
        "node.call-time", _Kind.TIMING, "milliseconds", ("service", "class")
    )
    ADDED_TIME = _Definition(
        "node.added-time", _Kind.TIMING, "milliseconds", ("service",)
    )
    RETRIES = _Definition(
        "node.retries", _Kind.COUNTER, "attempts", ("service",)
    )
    RETRIES_WITHHELD = _Definition(
        "node.retries-withheld", _Kind.COUNTER, "attempts", ("service",)
    )
    UNEXPECTED_ANSWERS = _Definition(
        "node.unexpected-answers", _Kind.COUNTER, "occurrences", ("reason",)
    )
    CANCELLED = _Definition(
        "node.cancelled", _Kind.COUNTER, "calls", ("service",)
    )
    IN_FLIGHT = _Definition(
        "node.in-flight", _Kind.GAUGE, "calls", ("service",)
    )
    QUEUED = _Definition("node.queued", _Kind.GAUGE, "calls", ("service",))
    CONCURRENCY_LIMIT = _Definition(
        "node.concurrency-limit", _Kind.GAUGE, "calls", ("service",)
    )
    LEVEL = _Definition("node.level", _Kind.GAUGE, "priority", ("service",))
    QUARANTINED = _Definition(
        "node.quarantined", _Kind.GAUGE, "fingerprints", ("service",)
    )
    ENDPOINTS = _Definition(
        "node.endpoints", _Kind.GAUGE, "endpoints", ("service", "state")
    )
    CONFIGURATION_VERSION = _Definition(
        "node.configuration-version", _Kind.GAUGE, "version"
    )
    CONFIGURATION_AGE = _Definition(
        "node.configuration-age", _Kind.GAUGE, "milliseconds"
    )
    LEASES = _Definition("control.leases", _Kind.GAUGE, "leases")
    CHANGES = _Definition(
        "control.changes", _Kind.COUNTER, "changes", ("result",)
    )
    COMMIT_TIME = _Definition(
        "control.commit-time", _Kind.TIMING, "milliseconds"
    )
    SYNC_TIME = _Definition("control.sync-time", _Kind.TIMING, "milliseconds")
    TERM = _Definition("control.term", _Kind.GAUGE, "term")
    IS_LEADER = _Definition("control.is-leader", _Kind.GAUGE, "0 or 1")
    CLAIMS = _Definition("control.claims", _Kind.COUNTER, "claims", ("result",))
    QUOTA_REQUESTS = _Definition(
        "control.quota-requests", _Kind.COUNTER, "requests", ("result",)
    )
    QUOTA_TOKENS_OUT = _Definition(
        "control.quota-tokens-out", _Kind.GAUGE, "tokens"
    )
    QUOTA_STANDBY_TOKENS = _Definition(
        "control.quota-standby-tokens", _Kind.GAUGE, "tokens"
    )
    QUOTA_NODES = _Definition("control.quota-nodes", _Kind.GAUGE, "nodes")
    METRICS_DROPPED = _Definition(
        "telemetry.metrics-dropped", _Kind.COUNTER, "values"
    )
