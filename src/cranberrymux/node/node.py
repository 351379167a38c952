"""A node's tasks, wired together, and its reactions to changes."""

from collections.abc import Sequence
from typing import Any

import structlog

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import backend_server
from cranberrymux.node import clock as clock_module
from cranberrymux.node import directory_task
from cranberrymux.node import egress
from cranberrymux.node import endpoint_updates
from cranberrymux.node import environment_builder
from cranberrymux.node import ingress
from cranberrymux.node import lifecycle
from cranberrymux.node import node_report
from cranberrymux.node import own_endpoint
from cranberrymux.node import policy_holder
from cranberrymux.node import settings as node_settings
from cranberrymux.node import siblings
from cranberrymux.node import status_body
from cranberrymux.node import unexpected_answers
from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import connection_pool
from cranberrymux.telemetry import event
from cranberrymux.telemetry import metrics_sink

_log = structlog.get_logger()


class Node:
    """Owns the tasks of a node, but no listening port.

    Implements `directory_task.DirectoryListener`,
    `environment.VersionListener` and `lifecycle.LifecycleActions`.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cluster_key: str,
        reactor: Any,
        system_clock: clock_module.Clock,
        clients: Sequence[Any],
        metrics: metrics_sink.MetricsSink,
        on_stopped: Any,
    ) -> None:
        """Builds the tasks and starts none.

        Args:
            settings: Settings of the node.
            cluster_key: The cluster key, which all processes share.
            reactor: Provides timers and opens connections.
            system_clock: Monotonic and Unix time.
            clients: Clients of the control instances, nearest first.
            metrics: Receives the node's metrics.
            on_stopped: Called without arguments when a stop is complete.
        """
        self._settings = settings
        self._reactor = reactor
        self._clock = system_clock
        self._on_stopped = on_stopped
        self._policy = policy_holder.PolicyHolder()
        self._endpoint = own_endpoint.OwnEndpoint(
            settings, system_clock.now_unix_ms()
        )
        pool = connection_pool.ConnectionPool(
            reactor,
            on_unexpected=unexpected_answers.UnexpectedAnswers(metrics).note,
            limits=answer_limits.BETWEEN_NODES,
        )
        self._siblings = siblings.Siblings(settings.node_id, pool)
        self._env = environment_builder.build(
            environment_builder.Parts(
                settings=settings,
                cluster_key=cluster_key,
                reactor=reactor,
                clock=system_clock,
                clients=clients,
                metrics=metrics,
                policy=self._policy,
                endpoint=self._endpoint,
                pool=pool,
                siblings=self._siblings,
                version_listener=self,
                on_backend_dead=self._withdraw_backend,
            )
        )
        self._admission = self._env.admission
        self.ingress = ingress.Ingress(self._env)
        self.egress = egress.Egress(self._env)
        self.directory = directory_task.DirectoryTask(
            settings, clients, self._endpoint, system_clock, self
        )
        self._lifecycle_state = lifecycle.LifecycleState(self)
        self._lifecycle = lifecycle.make_lifecycle(self._lifecycle_state)
        self._announced_s = 0.0
        self._refusals_due_s = float("inf")
        self._stop_due_s = float("inf")

    # Requests of the backend server, of operators and of the program.

    def announce(self, backend: backend_server.BackendServer) -> None:
        """Renews the lease of the backend server and applies what changed."""
        self._announced_s = self._clock.now_s()
        if self._endpoint.announce(backend, self._get_state()):
            self.ingress.set_backend(backend)
            self._apply_slots(backend)
            self.directory.send_heartbeats()
        self._lifecycle.backend_announced()

    def drain(self) -> None:
        """Begins a drain; the process keeps running and refuses new calls."""
        self._lifecycle.drain()

    def stop(self) -> None:
        """Begins a drain, if none has begun, after which the node stops."""
        self._lifecycle.stop()

    def set_load(self, load: float) -> None:
        """Sets the load that the backend server reports.

        Args:
            load: Part of the capacity in use, from 0.0 to 1.0.
        """
        self._admission.set_load_hint(load)

    def get_status(self) -> status_body.StatusBody:
        """Returns the status that operators and the backend server see."""
        return node_report.make_status(self._env, self.ingress)

    def run_housekeeping(self) -> None:
        """Ends expired leases, drain graces and stops.

        To be called several times a second.
        """
        now_s = self._clock.now_s()
        self._check_backend_lease(now_s)
        if now_s >= self._refusals_due_s:
            self._refusals_due_s = float("inf")
            self._admission.begin_drain()
        if not self._lifecycle_state.is_stopping:
            return
        if self._is_drained() or now_s >= self._stop_due_s:
            self._lifecycle.drained()

    def report(self) -> None:
        """Writes due outcomes and sends metrics; to be called every second."""
        node_report.report(self._env, self.ingress)

    # Implementation of `directory_task.DirectoryListener` and
    # `environment.VersionListener`.

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._policy.version

    def get_subscriptions(self) -> Sequence[str]:
        """Returns the backend server's service and the services it calls."""
        backend = self.ingress.backend
        if backend is None:
            return ()
        return (backend.service, *backend.calls)

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Passes changed endpoints to the router and to the siblings."""
        backend = self.ingress.backend
        own_service = None if backend is None else backend.service
        endpoint_updates.apply(self._env, self._siblings, own_service, records)

    def suspects_changed(self, rows: Sequence[Any]) -> None:
        """Passes what the control instances know of suspects on."""
        self._env.quarantine.merge_rows(rows)

    def configuration_changed(self, version: int, document: str) -> None:
        """Puts a configuration in force if it is valid and newer."""
        if version <= self._policy.version:
            return
        fault = self._policy.replace(version, document)
        if fault is not None:
            _log.error(
                event.Event.CONFIGURATION_NOT_VALID,
                version=version,
                fault=str(fault),
            )
            return
        backend = self.ingress.backend
        if backend is not None:
            self._apply_slots(backend)
        _log.info(
            event.Event.CONFIGURATION_IN_FORCE, version=self._policy.version
        )

    def configuration_confirmed(
        self, version: int, asked_at_s: float, until_s: float
    ) -> None:
        """Extends the time until which a configuration is confirmed.

        Calls that wait for the version in force go on. The first configuration
        makes the endpoint available.
        """
        self._policy.confirm(version, until_s)
        if version > self._policy.version:
            return
        was_configured = self.ingress.is_configured
        self.ingress.version_in_force(self._policy.version)
        if not was_configured and self.ingress.backend is not None:
            self._endpoint.set_state(self._get_state())
            self.directory.send_heartbeats()

    def control_instances_received(self, addresses: Sequence[str]) -> None:
        """Does nothing, as the settings name every control instance."""

    def quota_owner_received(self, address: str) -> None:
        """Does nothing, as calls without routes have no accounts."""

    def drain_requested(self) -> None:
        """Begins a drain that an operator requested."""
        self._lifecycle.drain()

    def newer_version_seen(self, version: int) -> None:
        """Fetches the configuration if another node has a newer one."""
        if version > self._policy.version:
            self.directory.send_heartbeats()

    # Implementation of `lifecycle.LifecycleActions`.

    def start_serving(self) -> None:
        """Announces in the directory that new calls are accepted."""
        _log.info(event.Event.NODE_SERVING, node_id=self._settings.node_id)
        self.directory.send_heartbeats()

    def start_draining(self) -> None:
        """Announces the drain; new calls are refused after `drain_grace_ms`."""
        _log.info(event.Event.NODE_DRAINING, node_id=self._settings.node_id)
        now_s = self._clock.now_s()
        self._lifecycle_state.is_draining = True
        self._endpoint.set_state(endpoint_state.EndpointState.DRAINING)
        self.directory.send_heartbeats()
        self.ingress.set_draining()
        self._refusals_due_s = now_s + self._settings.drain_grace_ms / 1000
        self._stop_due_s = now_s + self._settings.stop_limit_ms / 1000

    def finish(self) -> None:
        """Announces the end, releases connections and files, calls back."""
        _log.info(event.Event.NODE_STOPPED, in_flight=self._admission.in_flight)
        self._endpoint.set_state(endpoint_state.EndpointState.GONE)
        self.directory.send_heartbeats()
        self._env.pool.close()
        self._env.outcomes.close()
        self._on_stopped()

    def _get_state(self) -> endpoint_state.EndpointState:
        """Returns the state to announce while there is a backend server."""
        if not self.ingress.is_configured:
            # Calls would be refused, so none may be routed here yet.
            return endpoint_state.EndpointState.GONE
        if self._lifecycle_state.is_draining:
            return endpoint_state.EndpointState.DRAINING
        return endpoint_state.EndpointState.SERVING

    def _apply_slots(self, backend: backend_server.BackendServer) -> None:
        """Sets the slots to those announced, at most the configured cap."""
        cap = self._policy.get_limit_cap(backend.service)
        slots = min(backend.slots, cap) if cap else backend.slots
        self._admission.set_slots(slots)

    def _is_drained(self) -> bool:
        """Returns whether no call is in flight and no answer is unsaved."""
        has_calls = not self._admission.is_drained or self._env.ingress_calls
        return not has_calls and not self._env.claims.pending

    def _check_backend_lease(self, now_s: float) -> None:
        if self.ingress.backend is None:
            return
        lease_s = self._settings.backend_lease_ms / 1000
        if now_s - self._announced_s >= lease_s:
            self._withdraw_backend()

    def _withdraw_backend(self) -> None:
        """Withdraws the endpoint until the next announcement."""
        if self.ingress.backend is None:
            return
        _log.warning(
            event.Event.BACKEND_SERVER_LOST, node_id=self._settings.node_id
        )
        self.ingress.set_backend(None)
        self._endpoint.set_state(endpoint_state.EndpointState.GONE)
        self.directory.send_heartbeats()
