"""Answers the calls of nodes and of other control instances."""

from collections.abc import Callable
import hmac
from typing import Any
import uuid

import structlog
from thrift.protocol import TProtocol
from zope import interface

from cranberrymux.control import command_log
from cranberrymux.control import control_settings
from cranberrymux.control import conversions
from cranberrymux.control import counters
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.directory import endpoint_table
from cranberrymux.decisions.directory import node_table
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire import endpoint_conversion
from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes

TOMBSTONE_LEASES = 20
MAXIMUM_SETTLED_BYTES = 65_536


@interface.implementer(Control.Iface)
class NodeService:
    """The handler of the Control service; owns the directory."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        *,
        machine: state_machine.StateMachine,
        log: command_log.CommandLog,
        metrics: metrics_sink.MetricsSink,
        now_s: Callable[[], float],
    ) -> None:
        """Starts with an empty directory.

        Args:
            settings: The instance's settings.
            cluster_key: What every caller must show.
            machine: The agreed state, read only here.
            log: Commits commands.
            metrics: Takes metrics.
            now_s: Monotonic clock.
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

    def tick(self) -> None:
        """Ends leases; to be called several times in a lease."""
        now_s = self._now_s()
        for record in self.directory.tick(now_s):
            self._events.info(
                "endpoint-lease-ended",
                endpoint_id=record.endpoint_id,
                service=record.service,
                incarnation=record.incarnation,
            )
        kept_s = TOMBSTONE_LEASES * self._settings.lease_ms / 1000
        self.nodes.remove_expired(now_s - kept_s)

    def report_metrics(self) -> None:
        """Sends the gauges."""
        live = len(self.nodes.live(self._now_s()))
        self._metrics.gauge(metric.Metric.LEASES, live)

    def heartbeat(self, key: str, heartbeat: Any) -> Any:
        """Renews a node's lease and tells it what is new."""
        self._check(key, heartbeat)
        now_s = self._now_s()
        self.counters.heartbeats += 1
        is_present = self.nodes.renew(
            heartbeat.node_id,
            heartbeat.incarnation,
            heartbeat.configuration_version,
            now_s,
        )
        if is_present:
            self._announce(heartbeat.endpoints, now_s)
        is_known = heartbeat.directory_epoch == self._epoch
        revision = heartbeat.directory_revision if is_known else 0
        found = self.directory.read(heartbeat.services, revision, now_s)
        configuration = self._machine.configuration
        is_behind = heartbeat.configuration_version < configuration.version
        return ttypes.HeartbeatAnswer(
            lease_ms=self._settings.lease_ms,
            directory_epoch=self._epoch,
            directory_revision=found.revision,
            whole_directory=found.is_whole,
            endpoints=[
                endpoint_conversion.encode_endpoint(one)
                for one in found.records
            ],
            configuration_version=configuration.version,
            configuration=configuration.document if is_behind else None,
            vouched_ms=self._log.vouched_ms(),
            drain=self.nodes.is_drain_requested(
                heartbeat.node_id, heartbeat.incarnation
            ),
            control_instances=list(self._log.addresses()),
        )

    async def claim(self, key: str, request: Any) -> Any:
        """Commits a claim and answers what the ledger says."""
        self._check(key, request)
        self.counters.claims += 1
        if self._log.role() == "leader":
            await self._abandon(request)
        answer = await self._log.propose(ttypes.Command(at_ms=0, claim=request))
        told = conversions.extract_claim_answer(answer)
        self._metrics.count(
            metric.Metric.CLAIMS, 1, conversions.VERDICT_NAMES[told.verdict]
        )
        return told

    async def settle(self, key: str, request: Any) -> Any:
        """Commits the end of a claimed call."""
        self._check(key, request)
        self.counters.settlements += 1
        if request.body and len(request.body) > MAXIMUM_SETTLED_BYTES:
            request.body = None
        answer = await self._log.propose(
            ttypes.Command(at_ms=0, settle=request)
        )
        if not answer.committed:
            # The owner sends it again; a claim's answer would end that.
            raise ttypes.Refused(reason="unavailable")
        return answer.claim

    async def report_suspect(self, key: str, report: Any) -> Any:
        """Commits a death; with no endpoint id it only reads the count."""
        self._check(key, report)
        known = self._machine.suspects.count(report.fingerprint)
        if not report.endpoint_id:
            return ttypes.SuspectAnswer(deaths=known)
        self.counters.suspects += 1
        answer = await self._log.propose(
            ttypes.Command(at_ms=0, suspect=report)
        )
        if not answer.committed:
            raise ttypes.Refused(reason="unavailable")
        return answer.suspect

    async def propose(self, key: str, command: Any) -> Any:
        """Commits what another control instance passes on, if it leads."""
        self._check(key, command)
        if command.claim is not None:
            await self._abandon(command.claim)
        return await self._log.propose_here(command)

    def contact(self, key: str, contact: Any) -> Any:
        """Answers another control instance that tells who it is."""
        self._check(key, contact)
        return self._log.contact(contact)

    def deliver(self, key: str, message: Any) -> None:
        """Takes a message of the replicated log."""
        self._check(key, message)
        if message.recipient == self._settings.control_id:
            self._log.deliver(message)

    def report_bad_frame(self, detail: str) -> None:
        """Counts and logs a frame that could not be read."""
        self.counters.bad_frames += 1
        self._events.warning("bad-frame", detail=detail)

    def _check(self, key: Any, message: Any) -> None:
        """Refuses a wrong key, and a message that lacks a field."""
        shown = (key or "").encode()
        if not hmac.compare_digest(shown, self._cluster_key):
            self.counters.wrong_keys += 1
            self._events.warning(
                "wrong-cluster-key", count=self.counters.wrong_keys
            )
            raise ttypes.Refused(reason="wrong key")
        try:
            message.validate()
        except (AttributeError, TProtocol.TProtocolException):
            self.report_bad_frame("a field is missing")
            raise ttypes.Refused(reason="bad message") from None

    def _announce(self, endpoints: Any, now_s: float) -> None:
        for message in endpoints:
            try:
                record = endpoint_conversion.decode_endpoint(message)
            except ValueError:
                raise ttypes.Refused(reason="bad endpoint state") from None
            if self.directory.announce(record, now_s):
                self._events.info(
                    "endpoint-changed",
                    endpoint_id=record.endpoint_id,
                    service=record.service,
                    incarnation=record.incarnation,
                    sequence=record.sequence,
                    state=record.state.name.lower(),
                )

    async def _abandon(self, request: Any) -> None:
        """Commits that a running claim's owner ended, if that is known."""
        key = (request.request_id, request.call_id)
        entry = self._machine.claims.find(key)
        if entry is None or entry.state is not claim_entry.ClaimState.RUNNING:
            return
        owner = entry.claim.owner
        incarnation = entry.claim.owner_incarnation
        if not self._has_ended(owner, incarnation):
            return
        self._events.warning(
            "claim-abandoned",
            request_id=request.request_id,
            call_id=request.call_id,
            owner=owner,
        )
        abandon = ttypes.AbandonRequest(
            request_id=request.request_id,
            call_id=request.call_id,
            owner=owner,
            owner_incarnation=incarnation,
        )
        await self._log.propose_here(ttypes.Command(at_ms=0, abandon=abandon))

    def _has_ended(self, owner: str, incarnation: int) -> bool:
        if self.nodes.is_replaced(owner, incarnation):
            return True
        self.tick()
        now_s = self._now_s()
        if not self.directory.is_complete(now_s):
            return False
        return self.nodes.is_expired(owner, incarnation, now_s)
