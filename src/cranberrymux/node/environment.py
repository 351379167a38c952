"""What every call at a node works with."""

import random
from typing import Protocol

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.routing import router as router_module
from cranberrymux.node import admission_task
from cranberrymux.node import clock as clock_module
from cranberrymux.node import deadline_table
from cranberrymux.node import ingress_calls as ingress_calls_module
from cranberrymux.node import running_calls
from cranberrymux.node import settings as node_settings
from cranberrymux.node.http import connection_pool

_MINIMUM_RETRY_AFTER_MS = 100
_MAXIMUM_RETRY_AFTER_MS = 1000


class CallPolicy(Protocol):
    """The configuration in force."""

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none yet."""

    def is_too_old(self, now_s: float) -> bool:
        """True if strict calls must be refused."""

    def decide(
        self, service: str, method: str, target: str, principal: str
    ) -> treatment.Treatment:
        """Returns how a call is to be treated."""


class Environment:
    """The tasks and tables of one node.

    Attributes:
        settings: Settings of the node.
        clock: Its clocks.
        generator: Source of random numbers.
        deadlines: Callbacks due at a time.
        pool: Connections to other nodes and the backend server.
        router: Chooses the endpoints of calls.
        admission: Admission of calls to the backend server.
        policy: Configuration in force.
        running: Calls that the backend server runs.
        ingress_calls: Calls at ingress without an answer.
        key: Proof towards other nodes.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        system_clock: clock_module.Clock,
        generator: random.Random,
        pool: connection_pool.ConnectionPool,
        egress_router: router_module.Router,
        admission: admission_task.AdmissionTask,
        policy: CallPolicy,
        deadlines: deadline_table.DeadlineTable,
        key: bytes,
    ) -> None:
        """Keeps the parts; the tables start empty."""
        self.settings = settings
        self.clock = system_clock
        self.generator = generator
        self.deadlines = deadlines
        self.pool = pool
        self.router = egress_router
        self.admission = admission
        self.policy = policy
        self.running = running_calls.RunningCalls()
        self.ingress_calls = ingress_calls_module.IngressCalls()
        self.key = key

    def retry_after_ms(self) -> int:
        """Returns a time to come back, spread by chance."""
        return self.generator.randint(
            _MINIMUM_RETRY_AFTER_MS, _MAXIMUM_RETRY_AFTER_MS
        )
