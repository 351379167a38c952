"""A fake control instance with the interface of its client."""

from cranberrymux.decisions.claims import claim
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import settlement
from cranberrymux.decisions.claims import suspect_ledger
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes


class Control:
    """Answers the calls of `control_client.ControlClient` in memory.

    Attributes:
        records: Newest announced endpoint messages, by endpoint id.
        version: Version of the configuration; 0 if there is none.
        document: YAML document of that version.
        is_unreachable: True to have every call time out.
        withholds_confirmation: True to send configurations without
            confirming that they are current.
        ledger: Claims.
        suspects: Reported deaths of backend servers and what follows.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = {}
        self.version = 0
        self.document = ""
        self.is_unreachable = False
        self.is_connected = True
        self.withholds_confirmation = False
        self.ledger = claim_ledger.ClaimLedger(claim_settings.ClaimSettings())
        self.suspects = suspect_ledger.SuspectLedger()

    def start(self):
        pass

    def stop(self):
        pass

    def _make_timeout(self):
        return wire_error.WireError(
            wire_error.WireErrorReason.TIMEOUT, "unreachable"
        )

    async def heartbeat(self, heartbeat):
        if self.is_unreachable:
            return self._make_timeout()
        for endpoint in heartbeat.endpoints:
            self.records[endpoint.endpoint_id] = endpoint
        subscribed = [
            endpoint
            for endpoint in self.records.values()
            if endpoint.service_name in heartbeat.services
        ]
        is_behind = heartbeat.configuration_version < self.version
        return ttypes.HeartbeatAnswer(
            lease_ms=3000,
            directory_epoch="test",
            directory_revision=1,
            whole_directory=True,
            endpoints=subscribed,
            configuration_version=self.version,
            configuration=self.document if is_behind else None,
            vouched_ms=0 if self.withholds_confirmation else 1000,
            drain=False,
            suspects=[
                ttypes.SuspectRow(fingerprint=name, event_ids=event_ids)
                for name, event_ids in self.suspects.read(
                    heartbeat.suspect_revision or 0
                )
            ],
            suspect_revision=self.suspects.revision,
        )

    async def claim(self, request):
        if self.is_unreachable:
            return self._make_timeout()
        answer = self.ledger.claim(
            claim.Claim(
                request.request_id,
                request.call_id,
                request.body_digest,
                request.owner,
                request.owner_incarnation,
                request.principal,
                request.claim_id,
            ),
            self.clock.now_unix_ms(),
        )
        return _encode_claim_answer(answer)

    async def settle(self, request):
        if self.is_unreachable:
            return self._make_timeout()
        answer = self.ledger.settle(
            settlement.Settlement(
                request.request_id,
                request.call_id,
                request.owner,
                request.owner_incarnation,
                request.claim_id,
                request.status,
                request.body,
            ),
            self.clock.now_unix_ms(),
        )
        return _encode_claim_answer(answer)

    async def report_suspect(self, report):
        if self.is_unreachable:
            return self._make_timeout()
        for item in report.items:
            self.suspects.report(
                item.fingerprint, item.event_id, 0, item.maximum_ids or 64
            )
        event_ids = self.suspects.get(report.fingerprint)
        return ttypes.SuspectAnswer(deaths=len(event_ids), event_ids=event_ids)


def _encode_claim_answer(answer):
    return ttypes.ClaimAnswer(
        verdict=getattr(ttypes.ClaimVerdict, answer.verdict.name),
        status=answer.status,
        body=answer.body,
        retry_after_ms=answer.retry_after_ms,
        owner=answer.owner,
    )
