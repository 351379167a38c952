"""What a fake caller asks where to send a call."""

from typing import Protocol

from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import request_context


class Chooser(Protocol):
    """Chooses endpoints and learns from calls; `Router` is one."""

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord | refusal.Refusal:
        """Chooses an endpoint."""

    def started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call sent."""

    def finished(
        self,
        now_s: float,
        endpoint_id: str,
        outcome: outcome_module.Outcome,
        latency_s: float,
        level: int | None = None,
        *,
        load: float | None = None,
    ) -> None:
        """Learns from a call that ended."""
