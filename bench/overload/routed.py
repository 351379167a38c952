"""The choice by cranberrymux's own router."""

import random

from bench.overload import call
from bench.overload import clock as clock_module
from bench.overload import node as node_module
from bench.overload import records
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


class Routed:
    """An adapter to `Router`."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        nodes: "list[node_module.Node]",
        zone: str,
    ) -> None:
        """Knows every endpoint, warm."""
        self._clock = clock
        self._nodes = {node.endpoint_id: node for node in nodes}
        settings = router_settings.RouterSettings(
            region=records.REGION, zone=zone
        )
        self._router = router_module.Router(settings, generator)
        warm_s = clock.now_s - settings.slow_start_s
        self._service = nodes[0].service.name
        known = [node.record for node in nodes]
        self._router.update_endpoints(warm_s, self._service, known)

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Asks the router."""
        context = request.make_context(len(tried) + 1)
        chosen = self._router.choose(
            self._clock.now_s, self._service, context, excluded=tried
        )
        if isinstance(chosen, refusal.Refusal):
            return None
        return self._nodes[chosen.endpoint_id]

    def started(self, node: "node_module.Node") -> None:
        """Counts a call that is sent."""
        self._router.started(self._clock.now_s, node.endpoint_id)

    def ended(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Learns from an answer."""
        self._router.finished(
            self._clock.now_s,
            node.endpoint_id,
            _get_outcome(answer),
            latency_s,
            answer.level,
            load=answer.load,
        )

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Takes news from the directory."""
        self._router.update_endpoints(
            self._clock.now_s, self._service, [record]
        )


def _get_outcome(answer: call.Answer) -> outcome.Outcome:
    if answer.served:
        return _Outcome.DONE
    if answer.refusal is None:
        return _Outcome.FAILED
    return _OUTCOMES.get(answer.refusal.reason, _Outcome.REFUSED)
