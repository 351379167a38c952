"""Puts the tasks of a node together and runs them."""

from collections.abc import Sequence
import random
from typing import Any

import structlog
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import server as web_server

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.routing import router
from cranberrymux.decisions.routing import router_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import admission_task
from cranberrymux.node import announce_site
from cranberrymux.node import backend_server
from cranberrymux.node import clock
from cranberrymux.node import deadline_table
from cranberrymux.node import directory_task
from cranberrymux.node import egress
from cranberrymux.node import environment
from cranberrymux.node import ingress
from cranberrymux.node import lifecycle
from cranberrymux.node import own_endpoint
from cranberrymux.node import policy_holder
from cranberrymux.node import settings as node_settings
from cranberrymux.node import status_body
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings

_LOOPBACK = "127.0.0.1"
_DEADLINE_STEP_S = 0.005
_HOUSEKEEPING_S = 0.1
_CLOSE_LIMIT_S = 1.0

_log = structlog.get_logger()


class Program:
    """One node: owns the tasks, implements what they report to.

    Implements `directory_task.DirectoryListener` and
    `lifecycle.LifecycleActions`.
    """

    def __init__(self, settings: node_settings.NodeSettings, key: str) -> None:
        """Builds the tasks; `run` starts them."""
        self._reactor: Any = default_reactor
        self._settings = settings
        self._clock = clock.SystemClock()
        seed = settings.seed or random.SystemRandom().getrandbits(64)
        self._generator = random.Random(seed)
        self._deadlines = deadline_table.DeadlineTable()
        self._policy = policy_holder.PolicyHolder()
        self._admission = admission_task.AdmissionTask(
            controller.AdmissionController(
                admission_settings.AdmissionSettings(), self._generator
            ),
            self._clock,
            self._deadlines,
        )
        self._node = environment.Environment(
            settings,
            self._clock,
            self._generator,
            connection_pool.ConnectionPool(self._reactor),
            router.Router(
                router_settings.RouterSettings(settings.region, settings.zone),
                self._generator,
            ),
            self._admission,
            self._policy,
            self._deadlines,
            key.encode(),
        )
        self._ingress = ingress.Ingress(self._node)
        self._egress = egress.Egress(self._node)
        message_limits = limits.Limits(
            body_bytes=settings.body_limit_bytes,
            buffered_bytes=settings.buffered_body_bytes,
        )
        self._ingress_factory = server_factory.ServerFactory(
            self._ingress, message_limits
        )
        self._egress_factory = server_factory.ServerFactory(
            self._egress, message_limits
        )
        self._endpoint = own_endpoint.OwnEndpoint(
            settings, self._clock.now_unix_ms()
        )
        self._directory = directory_task.DirectoryTask(
            settings,
            self._make_clients(key),
            self._endpoint,
            self._clock,
            self,
        )
        self._lifecycle_state = lifecycle.LifecycleState(self)
        self._lifecycle = lifecycle.make_lifecycle(self._lifecycle_state)
        self._announced_s = 0.0
        self._stop_due_s = float("inf")
        self._ports: list[Any] = []

    def run(self) -> int:
        """Serves until a stop is complete; returns the exit code."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=True)
        return 0

    # What the directory reports.

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._policy.version

    def get_subscriptions(self) -> Sequence[str]:
        """Returns the services that the backend server is or calls."""
        backend = self._ingress.backend
        if backend is None:
            return ()
        return (backend.service, *backend.calls)

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Hands news of endpoints to the router."""
        now_s = self._clock.now_s()
        services: dict[str, list[endpoint_record.EndpointRecord]] = {}
        for record in records:
            services.setdefault(record.service, []).append(record)
        for service, news in services.items():
            self._node.router.update_endpoints(now_s, service, news)

    def configuration_changed(self, version: int, document: str) -> None:
        """Puts a configuration in force."""
        fault = self._policy.replace(version, document)
        if fault is not None:
            _log.error("configuration-not-valid", version=version, fault=fault)
            return
        _log.info("configuration-in-force", version=self._policy.version)

    def configuration_vouched(self, version: int, until_s: float) -> None:
        """Takes note until when the configuration is vouched for."""
        self._policy.vouch(version, until_s)

    def drain_requested(self) -> None:
        """Begins a drain that an operator asked for."""
        self._lifecycle.drain()

    # What the life cycle asks for.

    def start_serving(self) -> None:
        """Tells the directory that new calls are taken."""
        _log.info("node-serving", node_id=self._settings.node_id)
        self._directory.beat()

    def start_draining(self) -> None:
        """Announces the drain and refuses new calls."""
        _log.info("node-draining", node_id=self._settings.node_id)
        self._endpoint.set_state(endpoint_state.EndpointState.DRAINING)
        self._directory.beat()
        self._admission.begin_drain()
        limit_s = self._settings.stop_limit_ms / 1000
        self._stop_due_s = self._clock.now_s() + limit_s

    def finish(self) -> None:
        """Closes what is open and ends the process."""
        _log.info("node-stopped", in_flight=self._admission.in_flight)
        self._endpoint.set_state(endpoint_state.EndpointState.GONE)
        self._directory.beat()
        for port in self._ports:
            port.stopListening()
        self._ingress_factory.close_connections()
        self._egress_factory.close_connections()
        self._node.pool.close()
        self._reactor.callLater(_CLOSE_LIMIT_S, self._reactor.stop)

    def _make_clients(self, key: str) -> list[control_client.ControlClient]:
        clients = []
        for text in self._settings.control_addresses:
            host, _, port = text.rpartition(":")
            clients.append(
                control_client.ControlClient(
                    control_client_settings.ControlClientSettings(
                        host,
                        int(port),
                        key,
                        self._settings.control_timeout_ms,
                    )
                )
            )
        return clients

    def _start(self) -> None:
        settings = self._settings
        site = announce_site.AnnounceSite(
            self._backend_announced, self._lifecycle.drain, self._get_status
        )
        self._ports = [
            self._reactor.listenTCP(
                settings.ingress_port,
                self._ingress_factory,
                interface=settings.address,
                backlog=1024,
            ),
            self._reactor.listenTCP(
                settings.egress_port,
                self._egress_factory,
                interface=_LOOPBACK,
                backlog=1024,
            ),
            self._reactor.listenTCP(
                settings.announce_port,
                _make_site(site.app.resource()),
                interface=_LOOPBACK,
            ),
        ]
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self._directory.stop
        )
        self._install_signal_handler()
        task.LoopingCall(self._run_deadlines).start(_DEADLINE_STEP_S)
        task.LoopingCall(self._keep_house).start(_HOUSEKEEPING_S)
        self._directory.start()
        _log.info("node-ready", node_id=settings.node_id)

    def _install_signal_handler(self) -> None:
        import signal  # noqa: PLC0415  # Only the main program needs it.

        def handle(number: int, frame: Any) -> None:
            del number, frame
            self._reactor.callFromThread(self._lifecycle.stop)

        signal.signal(signal.SIGTERM, handle)
        signal.signal(signal.SIGINT, handle)

    def _run_deadlines(self) -> None:
        self._deadlines.run_due(self._clock.now_s())

    def _backend_announced(self, backend: backend_server.BackendServer) -> None:
        self._announced_s = self._clock.now_s()
        state = endpoint_state.EndpointState.SERVING
        record = self._endpoint.record
        if record is not None:
            state = record.state
        if self._endpoint.announce(backend, state):
            self._ingress.set_backend(backend)
            self._admission.set_slots(backend.slots)
            self._directory.beat()
        self._lifecycle.backend_announced()

    def _keep_house(self) -> None:
        now_s = self._clock.now_s()
        self._expire_backend(now_s)
        if self._stop_due_s == float("inf"):
            return
        if not self._lifecycle_state.is_stopping:
            return
        if self._admission.is_drained or now_s >= self._stop_due_s:
            self._lifecycle.drained()

    def _expire_backend(self, now_s: float) -> None:
        if self._ingress.backend is None:
            return
        lease_s = self._settings.backend_lease_ms / 1000
        if now_s - self._announced_s < lease_s:
            return
        _log.warning("backend-server-lost", node_id=self._settings.node_id)
        self._ingress.set_backend(None)
        self._endpoint.set_state(endpoint_state.EndpointState.GONE)
        self._directory.beat()

    def _get_status(self) -> status_body.StatusBody:
        backend = self._ingress.backend
        record = self._endpoint.record
        return status_body.StatusBody(
            node_id=self._settings.node_id,
            service=backend.service if backend else "",
            state=record.state.name.lower() if record else "starting",
            in_flight=self._admission.in_flight,
            queued=self._admission.queue_length,
            limit=self._admission.limit,
            level=self._admission.level,
            configuration_version=self._policy.version,
        )


def _make_site(resource: Any) -> Any:
    make: Any = web_server.Site
    return make(resource)
