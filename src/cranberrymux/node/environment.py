"""What every call at a node works with."""

import random
from typing import NamedTuple
from typing import Protocol

from cranberrymux.decisions.answers import tombstones as tombstones_module
from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import entry_grants
from cranberrymux.decisions.retries import retry_settings as retries
from cranberrymux.decisions.routing import router as router_module
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
    """The configuration in force."""

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none yet."""

    def get_class_name(self, rank: int) -> str:
        """Returns the name of the class with a rank."""

    def is_too_old(self, now_s: float) -> bool:
        """True if strict calls must be refused."""

    def decide(
        self, service: str, method: str, target: str, principal: str
    ) -> treatment.Treatment:
        """Returns how a call is to be treated."""


class VersionListener(Protocol):
    """Whoever fetches configurations."""

    def version_met(self, version: int) -> None:
        """Takes the version that another node has in force."""


class Environment(NamedTuple):
    """The tasks and tables of one node.

    Attributes:
        settings: Settings of the node.
        clock: Its clocks.
        generator: Source of random numbers.
        deadlines: Callbacks due at a time.
        pool: Connections to other nodes and the backend server.
        router: Chooses the endpoints of calls.
        edges: Retry buckets of the services called.
        retry_settings: Bounds of retries.
        grants: Retry budgets of requests that entered here.
        admission: Admission of calls to the backend server.
        quarantine: Requests that may crash backend servers.
        claims: Claims of calls that may run at most once.
        tombstones: Attempts handed over, and those that never may be.
        policy: Configuration in force.
        versions: Told of the versions of other nodes.
        endpoint: What this node announces.
        running: Calls that the backend server runs.
        ingress_calls: Calls at ingress without an answer.
        outcomes: Records outcomes for the report on burn.
        metrics: Collector of metrics.
        key: Proof towards other nodes.
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
    versions: VersionListener
    endpoint: own_endpoint.OwnEndpoint
    running: running_calls.RunningCalls
    ingress_calls: ingress_calls_module.IngressCalls
    outcomes: outcomes_recorder.OutcomesRecorder
    metrics: metrics_sink.MetricsSink
    key: bytes

    def retry_after_ms(self) -> int:
        """Returns a time to come back, spread by chance."""
        return self.generator.randint(
            _MINIMUM_RETRY_AFTER_MS, _MAXIMUM_RETRY_AFTER_MS
        )
