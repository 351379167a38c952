"""Interface of the endpoint choosers that fake callers use."""

from typing import Protocol

from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import request_context


class Chooser(Protocol):
    """Chooses endpoints and learns from calls, as `Router` does."""

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord | refusal.Refusal:
        """Returns the endpoint for a call, or the refusal that answers it."""

    def call_started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call sent to an endpoint as in flight."""

    def call_finished(
        self,
        now_s: float,
        endpoint_id: str,
        outcome: outcome_module.Outcome,
        latency_s: float,
        level: int | None = None,
        *,
        load: float | None = None,
    ) -> None:
        """Learns from a call that ended; see `Router.call_finished`."""
