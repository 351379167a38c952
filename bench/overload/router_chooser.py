"""Choice of an endpoint by cranberrymux's router."""

import random

from bench.overload import call
from bench.overload import clock as clock_module
from bench.overload import endpoint_records
from bench.overload import node as node_module
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router as router_module
from cranberrymux.decisions.routing import router_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_Outcome = outcome.Outcome
_Reason = refusal_reason.RefusalReason
_OUTCOMES = {
    _Reason.DRAINING: _Outcome.DRAINING,
    _Reason.NOT_STARTED: _Outcome.UNREACHABLE,
    _Reason.CONNECTION_LOST: _Outcome.LOST,
    _Reason.QUARANTINED: _Outcome.CANCELLED,
}


class RouterChooser:
    """Adapts `Router` to the choice among simulated nodes."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        nodes: "list[node_module.Node]",
        zone: str,
    ) -> None:
        """Creates a router that knows all endpoints, past their slow start.

        Args:
            clock: The virtual clock.
            generator: Source of random choices.
            nodes: All endpoints of one service.
            zone: Availability zone of the caller; empty for clients.
        """
        self._clock = clock
        self._nodes = {node.endpoint_id: node for node in nodes}
        settings = router_settings.RouterSettings(
            region=endpoint_records.REGION, zone=zone
        )
        self._router = router_module.Router(settings, generator)
        slow_started_s = clock.now_s - settings.slow_start_s
        self._service = nodes[0].service.name
        records = [node.record for node in nodes]
        self._router.update_endpoints(slow_started_s, self._service, records)

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Returns the router's choice; None if it refuses the call."""
        context = request.make_context(len(tried) + 1)
        chosen = self._router.choose(
            self._clock.now_s, self._service, context, excluded=tried
        )
        if isinstance(chosen, refusal.Refusal):
            return None
        return self._nodes[chosen.endpoint_id]

    def call_started(self, node: "node_module.Node") -> None:
        """Counts an attempt sent to an endpoint as in flight."""
        self._router.call_started(self._clock.now_s, node.endpoint_id)

    def call_finished(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Passes the outcome of an attempt on to the router."""
        self._router.call_finished(
            self._clock.now_s,
            node.endpoint_id,
            _get_outcome(answer),
            latency_s,
            answer.level,
            load=answer.load,
        )

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Applies a new record of an endpoint."""
        self._router.update_endpoints(
            self._clock.now_s, self._service, [record]
        )


def _get_outcome(answer: call.Answer) -> outcome.Outcome:
    if answer.served_by:
        return _Outcome.DONE
    if answer.refusal is None:
        return _Outcome.FAILED
    return _OUTCOMES.get(answer.refusal.reason, _Outcome.REFUSED)
