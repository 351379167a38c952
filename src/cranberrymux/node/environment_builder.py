"""Creates the tasks and tables of a node that its calls share."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import tombstones
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import entry_grants
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.routing import router
from cranberrymux.decisions.routing import router_settings
from cranberrymux.node import admission_task
from cranberrymux.node import claim_task
from cranberrymux.node import clock as clock_module
from cranberrymux.node import deadline_table
from cranberrymux.node import environment
from cranberrymux.node import ingress_calls
from cranberrymux.node import own_endpoint
from cranberrymux.node import quarantine_factory
from cranberrymux.node import quarantine_task
from cranberrymux.node import running_calls
from cranberrymux.node import settings as node_settings
from cranberrymux.node import siblings as siblings_module
from cranberrymux.node.http import connection_pool
from cranberrymux.telemetry import metrics_sink
from cranberrymux.telemetry import outcomes_recorder
from cranberrymux.telemetry import outcomes_settings

# The configuration sets the retry budget of a request; this only limits the
# grants of its resends.
_MAXIMUM_GRANTED_RETRIES = 100
_CLASS_COUNT = 16


class Parts(NamedTuple):
    """What the environment of a node is built from.

    Attributes:
        settings: Settings of the node.
        cluster_key: The cluster key, which all processes share.
        reactor: Provides timers and opens connections.
        clock: Monotonic and Unix time.
        clients: Clients of the control instances, nearest first.
        metrics: Receives the node's metrics.
        policy: Applies the configuration in force.
        endpoint: Endpoint that the node announces.
        pool: Connections to other nodes and to the backend server.
        siblings: Other endpoints of the same service.
        version_listener: Receives the configuration versions of other nodes.
        on_backend_dead: Called when the backend server accepts no connection.
    """

    settings: node_settings.NodeSettings
    cluster_key: str
    reactor: Any
    clock: clock_module.Clock
    clients: Sequence[Any]
    metrics: metrics_sink.MetricsSink
    policy: environment.CallPolicy
    endpoint: own_endpoint.OwnEndpoint
    pool: connection_pool.ConnectionPool
    siblings: siblings_module.Siblings
    version_listener: environment.VersionListener
    on_backend_dead: Callable[[], None]


def build(parts: Parts) -> environment.Environment:
    """Builds the environment of one node.

    Args:
        parts: What the environment is built from.
    """
    settings = parts.settings
    seed = settings.seed or random.SystemRandom().getrandbits(64)
    generator = random.Random(seed)
    deadlines = deadline_table.DeadlineTable(parts.reactor, parts.clock)
    retries = retry_settings.RetrySettings(root_budget=_MAXIMUM_GRANTED_RETRIES)
    return environment.Environment(
        settings=settings,
        clock=parts.clock,
        generator=generator,
        deadlines=deadlines,
        pool=parts.pool,
        router=router.Router(
            router_settings.RouterSettings(settings.region, settings.zone),
            generator,
        ),
        edges=edge_buckets.EdgeBuckets(retries),
        retry_settings=retries,
        grants=entry_grants.EntryGrants(retries),
        admission=_make_admission(parts, generator, deadlines),
        quarantine=_make_quarantine(parts),
        claims=claim_task.ClaimTask(parts.clients, parts.reactor),
        tombstones=tombstones.Tombstones(
            parts.clock.now_s(),
            parts.endpoint.incarnation,
            tombstone_settings.TombstoneSettings(),
        ),
        policy=parts.policy,
        version_listener=parts.version_listener,
        endpoint=parts.endpoint,
        running=running_calls.RunningCalls(),
        ingress_calls=ingress_calls.IngressCalls(),
        outcomes=_make_outcomes_recorder(settings),
        metrics=parts.metrics,
        cluster_key=parts.cluster_key.encode(),
    )


def _make_admission(
    parts: Parts,
    generator: random.Random,
    deadlines: deadline_table.DeadlineTable,
) -> admission_task.AdmissionTask:
    settings = admission_settings.AdmissionSettings(class_count=_CLASS_COUNT)
    return admission_task.AdmissionTask(
        controller.AdmissionController(settings, generator),
        parts.clock,
        deadlines,
    )


def _make_quarantine(parts: Parts) -> quarantine_task.QuarantineTask:
    clients = list(parts.clients)
    made = quarantine_factory.make(
        quarantine_factory.NodeIdentity(
            parts.settings.node_id,
            parts.endpoint.incarnation,
            parts.cluster_key.encode(),
        ),
        parts.clock,
        parts.reactor,
        lambda: clients,
        parts.siblings.send_to_neighbors,
    )
    made.losses.on_dead = parts.on_backend_dead
    return made


def _make_outcomes_recorder(
    settings: node_settings.NodeSettings,
) -> outcomes_recorder.OutcomesRecorder:
    return outcomes_recorder.OutcomesRecorder(
        outcomes_settings.OutcomesSettings(
            settings.outcomes_file,
            settings.outcomes_file_bytes,
            settings.outcomes_files,
        )
    )
