"""Handler of the thrift service that a control instance offers."""

from collections.abc import Callable
import hmac
import time
from typing import Any
import uuid

import structlog
from thrift.protocol import TProtocol
from zope import interface

from cranberrymux.control import announced_endpoints
from cranberrymux.control import claim_abandonment
from cranberrymux.control import command_log
from cranberrymux.control import control_settings
from cranberrymux.control import conversions
from cranberrymux.control import counters
from cranberrymux.control import quota_service
from cranberrymux.control import quota_standby
from cranberrymux.control import state_machine
from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.decisions.directory import node_table
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire import endpoint_conversion
from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes

TOMBSTONE_LEASES = 20
MAXIMUM_SETTLED_BODY_BYTES = 65_536


@interface.implementer(Control.Iface)
class NodeService:
    """Handles the calls of nodes and of other control instances.

    Owns the directory, which is soft state: each control instance has its own
    and rebuilds it from heartbeats. Claims, settlements and reports of deaths
    are committed to the replicated log.

    Attributes:
        counters: Requests received since the start.
        directory: Endpoints that the nodes announced.
        nodes: Nodes that sent heartbeats.
        quotas: Hands out the tokens of client accounts.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        *,
        machine: state_machine.StateMachine,
        log: command_log.CommandLog,
        metrics: metrics_sink.MetricsSink,
        now_s: Callable[[], float],
        boot_now_s: Callable[[], float] | None = None,
        reactor: Any,
    ) -> None:
        """Creates the service with an empty directory.

        Args:
            settings: The instance's settings.
            cluster_key: Key that every caller must present.
            machine: The replicated state; only read here.
            log: Commits commands.
            metrics: Receives the metrics of claims and leases.
            now_s: Monotonic clock.
            boot_now_s: Clock of quota tokens, which also counts the time for
                which the instance is suspended; `now_s` by default.
            reactor: Runs what takes long in steps.
        """
        lease_s = settings.lease_ms / 1000
        self._settings = settings
        self._cluster_key = cluster_key.encode()
        self._machine = machine
        self._log = log
        self._metrics = metrics
        self._now_s = now_s
        self._epoch = uuid.uuid4().hex
        self._events = structlog.get_logger()
        self.counters = counters.Counters()
        self.directory = endpoint_table.EndpointTable(
            lease_s, TOMBSTONE_LEASES * lease_s, now_s()
        )
        self.nodes = node_table.NodeTable(lease_s)
        self._announced = announced_endpoints.AnnouncedEndpoints()
        self._abandonment = claim_abandonment.ClaimAbandonment(
            machine, log, self.directory, self.nodes, self.tick, now_s
        )
        self.quotas = quota_service.QuotaService(
            settings.quotas,
            machine,
            log,
            metrics,
            boot_now_s or now_s,
            reactor,
            quota_standby.QuotaStandby(
                settings.control_id,
                log,
                boot_now_s or now_s,
                int(time.time() * 1000),
            ),
        )

    def tick(self) -> None:
        """Ends expired leases and removes nodes gone for `TOMBSTONE_LEASES`.

        It must be called several times per lease; see `EndpointTable.tick`.
        """
        now_s = self._now_s()
        self.quotas.tick()
        for record in self.directory.tick(now_s):
            self._events.info(
                "endpoint-lease-ended",
                endpoint_id=record.endpoint_id,
                service=record.service,
                incarnation=record.incarnation,
            )
        retention_s = TOMBSTONE_LEASES * self._settings.lease_ms / 1000
        self._announced.remove(self.nodes.remove_expired(now_s - retention_s))

    def report_metrics(self) -> None:
        """Sends the number of nodes that hold a lease."""
        live_nodes = len(self.nodes.live(self._now_s()))
        self._metrics.gauge(metric.Metric.LEASES, live_nodes)
        self.quotas.report_metrics()

    def heartbeat(self, key: str, heartbeat: Any) -> Any:
        """Renews the leases of a node and of the endpoints that it announces.

        The answer holds what changed in the directory and the configuration
        since the versions that the heartbeat names.
        """
        self._check_call(key, heartbeat)
        now_s = self._now_s()
        self.counters.heartbeats += 1
        is_current_incarnation = self.nodes.renew(
            heartbeat.node_id,
            heartbeat.incarnation,
            heartbeat.configuration_version,
            now_s,
        )
        keeps_endpoints = is_current_incarnation and self._store_endpoints(
            heartbeat, now_s
        )
        is_same_epoch = heartbeat.directory_epoch == self._epoch
        revision = heartbeat.directory_revision if is_same_epoch else 0
        delta = self.directory.read(heartbeat.services, revision, now_s)
        configuration = self._machine.configuration
        is_behind = heartbeat.configuration_version < configuration.version
        suspects = self._read_suspects(heartbeat, is_same_epoch)
        return ttypes.HeartbeatAnswer(
            lease_ms=self._settings.lease_ms,
            directory_epoch=self._epoch,
            directory_revision=delta.revision,
            whole_directory=delta.is_whole,
            endpoints=[
                endpoint_conversion.encode_endpoint(record)
                for record in delta.records
            ],
            configuration_version=configuration.version,
            configuration=configuration.document if is_behind else None,
            vouched_ms=self._log.vouched_ms(),
            drain=self.nodes.is_drain_requested(
                heartbeat.node_id, heartbeat.incarnation
            ),
            control_instances=list(self._log.addresses()),
            suspects=suspects,
            suspect_revision=self._machine.suspects.revision,
            quota_owner=self.quotas.owner_address,
            keeps_endpoints=keeps_endpoints,
        )

    async def claim(self, key: str, request: Any) -> Any:
        """Commits a claim and returns the ledger's `ClaimAnswer`."""
        self._check_call(key, request)
        self.counters.claims += 1
        if self._log.role() == "leader":
            await self._abandonment.abandon_if_owner_ended(request)
        answer = await self._log.propose(ttypes.Command(at_ms=0, claim=request))
        claim_answer = conversions.extract_claim_answer(answer)
        self._metrics.count(
            metric.Metric.CLAIMS,
            1,
            conversions.CLAIM_VERDICT_NAMES[claim_answer.verdict],
        )
        return claim_answer

    async def settle(self, key: str, request: Any) -> Any:
        """Commits a settlement and returns the ledger's `ClaimAnswer`.

        A response body above `MAXIMUM_SETTLED_BODY_BYTES` is dropped.

        Raises:
            Refused: The settlement is not known to be committed.
        """
        self._check_call(key, request)
        self.counters.settlements += 1
        if request.body and len(request.body) > MAXIMUM_SETTLED_BODY_BYTES:
            request.body = None
        answer = await self._log.propose(
            ttypes.Command(at_ms=0, settle=request)
        )
        if not answer.committed:
            # The owner resends after an error, but not after a ClaimAnswer.
            raise ttypes.Refused(reason="unavailable")
        return answer.claim

    async def report_suspect(self, key: str, report: Any) -> Any:
        """Commits a report on requests that may kill backend servers.

        With an empty `endpoint_id` it only reads the number of deaths, which
        this instance may not have in full.

        Raises:
            Refused: The report is not known to be committed.
        """
        self._check_call(key, report)
        deaths = self._machine.suspects.count(report.fingerprint)
        if not report.endpoint_id:
            return ttypes.SuspectAnswer(deaths=deaths)
        self.counters.suspects += 1
        answer = await self._log.propose(
            ttypes.Command(at_ms=0, suspect=report)
        )
        if not answer.committed:
            raise ttypes.Refused(reason="unavailable")
        return answer.suspect

    def take_quota(self, key: str, request: Any) -> Any:
        """Answers a node's `QuotaRequest`.

        Raises:
            Refused: This instance does not hand out tokens at present, or the
                node must start a new session.
        """
        self._check_call(key, request)
        self.counters.quota_requests += 1
        return self.quotas.take(request)

    async def propose(self, key: str, command: Any) -> Any:
        """Commits a command that a follower forwards, if this one leads."""
        self._check_call(key, command)
        if command.claim is not None:
            await self._abandonment.abandon_if_owner_ended(command.claim)
        return await self._log.propose_here(command)

    def contact(self, key: str, contact: Any) -> Any:
        """Answers another control instance's `Contact`."""
        self._check_call(key, contact)
        return self._log.contact(contact)

    def deliver(self, key: str, message: Any) -> None:
        """Passes a message of the replicated log on, if it is for this one."""
        self._check_call(key, message)
        if message.recipient == self._settings.control_id:
            self._log.deliver(message)

    def report_bad_frame(self, detail: str) -> None:
        """Counts and logs a frame or message that could not be decoded."""
        self.counters.bad_frames += 1
        self._events.warning("bad-frame", detail=detail)

    def _check_call(self, key: Any, message: Any) -> None:
        """Checks the key of a call and the required fields of its message.

        Raises:
            Refused: The key is wrong or a required field is missing.
        """
        given_key = (key or "").encode()
        if not hmac.compare_digest(given_key, self._cluster_key):
            self.counters.wrong_keys += 1
            self._events.warning(
                "wrong-cluster-key", count=self.counters.wrong_keys
            )
            raise ttypes.Refused(reason="wrong key")
        try:
            message.validate()
        except (AttributeError, TProtocol.TProtocolException):
            self.report_bad_frame("a required field of a message is missing")
            raise ttypes.Refused(reason="bad message") from None

    def _read_suspects(self, heartbeat: Any, is_same_epoch: bool) -> Any:
        """Returns what changed of the suspects; None if nothing did."""
        if heartbeat.suspect_revision is None:
            return None
        revision = heartbeat.suspect_revision if is_same_epoch else 0
        if revision == self._machine.suspects.revision:
            return None
        return [
            ttypes.SuspectRow(fingerprint=name, event_ids=event_ids)
            for name, event_ids in self._machine.suspects.read(revision)
        ]

    def _store_endpoints(self, heartbeat: Any, now_s: float) -> bool:
        """Renews the endpoints of a node; False if they are not known."""
        records = self._announced.read(heartbeat)
        for record in records or ():
            if self.directory.announce(record, now_s):
                self._events.info(
                    "endpoint-changed",
                    endpoint_id=record.endpoint_id,
                    service=record.service,
                    incarnation=record.incarnation,
                    sequence=record.sequence,
                    state=record.state.name.lower(),
                )
        return records is not None
