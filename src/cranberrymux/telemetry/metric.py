"""Every metric that a program sends."""

import enum

from cranberrymux.telemetry import metric_definition
from cranberrymux.telemetry import metric_kind

_Kind = metric_kind.MetricKind
_Of = metric_definition.MetricDefinition


class Metric(enum.Enum):
    """The metrics; docs/METRICS.md tells what each is read for."""

    CALLS = _Of(
        "node.calls", _Kind.COUNTER, "calls", ("service", "class", "answer")
    )
    REFUSALS = _Of(
        "node.refusals",
        _Kind.COUNTER,
        "calls",
        ("service", "class", "reason"),
    )
    CALL_TIME = _Of(
        "node.call-time", _Kind.TIMING, "milliseconds", ("service", "class")
    )
    ADDED_TIME = _Of(
        "node.added-time", _Kind.TIMING, "milliseconds", ("service",)
    )
    RETRIES = _Of("node.retries", _Kind.COUNTER, "attempts", ("service",))
    RETRIES_WITHHELD = _Of(
        "node.retries-withheld", _Kind.COUNTER, "attempts", ("service",)
    )
    CANCELLED = _Of("node.cancelled", _Kind.COUNTER, "calls", ("service",))
    IN_FLIGHT = _Of("node.in-flight", _Kind.GAUGE, "calls", ("service",))
    QUEUED = _Of("node.queued", _Kind.GAUGE, "calls", ("service",))
    CONCURRENCY_LIMIT = _Of(
        "node.concurrency-limit", _Kind.GAUGE, "calls", ("service",)
    )
    LEVEL = _Of("node.level", _Kind.GAUGE, "priority", ("service",))
    QUARANTINED = _Of(
        "node.quarantined", _Kind.GAUGE, "fingerprints", ("service",)
    )
    ENDPOINTS = _Of(
        "node.endpoints", _Kind.GAUGE, "endpoints", ("service", "state")
    )
    CONFIGURATION_VERSION = _Of(
        "node.configuration-version", _Kind.GAUGE, "version"
    )
    CONFIGURATION_AGE = _Of(
        "node.configuration-age", _Kind.GAUGE, "milliseconds"
    )
    LEASES = _Of("control.leases", _Kind.GAUGE, "leases")
    CHANGES = _Of("control.changes", _Kind.COUNTER, "changes", ("result",))
    COMMIT_TIME = _Of("control.commit-time", _Kind.TIMING, "milliseconds")
    SYNC_TIME = _Of("control.sync-time", _Kind.TIMING, "milliseconds")
    TERM = _Of("control.term", _Kind.GAUGE, "term")
    IS_LEADER = _Of("control.is-leader", _Kind.GAUGE, "0 or 1")
    CLAIMS = _Of("control.claims", _Kind.COUNTER, "claims", ("result",))
    METRICS_DROPPED = _Of("telemetry.metrics-dropped", _Kind.COUNTER, "values")
