"""The tasks and tables of a node that its calls share."""

import random
from typing import NamedTuple
from typing import Protocol

from cranberrymux.decisions.answers import tombstones as tombstones_module
from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import entry_grants
from cranberrymux.decisions.retries import retry_settings as retries
from cranberrymux.decisions.routing import router as router_module
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node import admission_task
from cranberrymux.node import claim_task
from cranberrymux.node import clock as clock_module
from cranberrymux.node import deadline_table
from cranberrymux.node import ingress_calls as ingress_calls_module
from cranberrymux.node import own_endpoint
from cranberrymux.node import quarantine_task
from cranberrymux.node import running_calls
from cranberrymux.node import settings as node_settings
from cranberrymux.node.http import connection_pool
from cranberrymux.telemetry import metrics_sink
from cranberrymux.telemetry import outcomes_recorder

_MINIMUM_RETRY_AFTER_MS = 100
_MAXIMUM_RETRY_AFTER_MS = 1000


class CallPolicy(Protocol):
    """Applies the configuration in force to calls."""

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none yet."""

    def get_class_name(self, rank: int) -> str:
        """Returns the name of the class with a rank.

        Args:
            rank: Rank of the class; 0 is shed last.
        """

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the configuration is too old for strict calls.

        Args:
            now_s: Present monotonic time.
        """

    def decide(
        self, service: str, method: str, target: str, principal: str
    ) -> policy_decision.PolicyDecision:
        """Returns the decision about a call.

        Args:
            service: Service that is called.
            method: HTTP method.
            target: Request target.
            principal: Principal of the client.
        """


class VersionListener(Protocol):
    """Receives the configuration versions that other nodes have in force."""

    def newer_version_seen(self, version: int) -> None:
        """Takes the version in force at another node.

        Args:
            version: The version, higher than the one in force here.
        """


class Environment(NamedTuple):
    """The tasks and tables of one node, which its calls share.

    Attributes:
        settings: Settings of the node.
        clock: Monotonic and Unix time.
        generator: Random number generator.
        deadlines: Calls functions back when a time is reached.
        pool: Connections to other nodes and to the backend server.
        router: Chooses an endpoint for each call to a service.
        edges: Retry buckets, one for each called service and class.
        retry_settings: Limits of retries.
        grants: Retry budgets granted to requests that entered here.
        admission: Admits calls to the backend server.
        quarantine: Isolates requests that may crash backend servers.
        claims: Claims calls that may run at most once.
        tombstones: Attempts that were handed over to the backend server, and
            those that never may be.
        policy: Applies the configuration in force.
        version_listener: Receives the configuration versions of other nodes.
        endpoint: Endpoint that this node announces.
        running: Calls that the backend server is running.
        ingress_calls: Calls at ingress that are not yet answered.
        outcomes: Records outcomes for reports on the error budget.
        metrics: Receives the node's metrics.
        cluster_key: Key of the cluster, which proves to other nodes that this
            is one.
    """

    settings: node_settings.NodeSettings
    clock: clock_module.Clock
    generator: random.Random
    deadlines: deadline_table.DeadlineTable
    pool: connection_pool.ConnectionPool
    router: router_module.Router
    edges: edge_buckets.EdgeBuckets
    retry_settings: retries.RetrySettings
    grants: entry_grants.EntryGrants
    admission: admission_task.AdmissionTask
    quarantine: quarantine_task.QuarantineTask
    claims: claim_task.ClaimTask
    tombstones: tombstones_module.Tombstones
    policy: CallPolicy
    version_listener: VersionListener
    endpoint: own_endpoint.OwnEndpoint
    running: running_calls.RunningCalls
    ingress_calls: ingress_calls_module.IngressCalls
    outcomes: outcomes_recorder.OutcomesRecorder
    metrics: metrics_sink.MetricsSink
    cluster_key: bytes

    def make_not_run(
        self, reason: refusal_reason.RefusalReason, detail: str
    ) -> refusal.Refusal:
        """Returns the refusal of a call that did not run and may be retried.

        Args:
            reason: Why it did not run.
            detail: One-line description for people.
        """
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            reason,
            detail,
            self.draw_retry_after_ms(),
        )

    def make_expired(self, *, may_have_run: bool) -> refusal.Refusal:
        """Returns the refusal of a call whose deadline has passed.

        Args:
            may_have_run: True if any byte of it may have reached a backend
                server.
        """
        kind = answer_kind.AnswerKind.NOT_RUN
        if may_have_run:
            kind = answer_kind.AnswerKind.UNKNOWN
        return refusal.Refusal(
            kind,
            refusal_reason.RefusalReason.DEADLINE_EXPIRED,
            "the deadline passed before the answer was complete",
            self.draw_retry_after_ms(),
        )

    def draw_retry_after_ms(self) -> int:
        """Returns the time in milliseconds after which to retry.

        It is drawn at random, so that the retries of many refused clients are
        spread out.
        """
        return self.generator.randint(
            _MINIMUM_RETRY_AFTER_MS, _MAXIMUM_RETRY_AFTER_MS
        )
