"""Baselines of our own for the choice of an endpoint."""

import collections
from collections.abc import Sequence
import random

from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import request_context


class RandomChooser:
    """Any endpoint, with equal chance."""

    def __init__(
        self,
        generator: random.Random,
        records: Sequence[endpoint_record.EndpointRecord],
    ) -> None:
        """Takes the endpoints, which never change."""
        self._generator = generator
        self._records = records
        self._outstanding: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord:
        """Chooses an endpoint."""
        del now_s, service, context
        return self._generator.choice(self._records)

    def started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call sent."""
        del now_s
        self._outstanding[endpoint_id] += 1

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
        """Counts a call ended."""
        del now_s, outcome, latency_s, level, load
        self._outstanding[endpoint_id] -= 1


class TwoChoices(RandomChooser):
    """Of two random endpoints, the one with less work in flight."""

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord:
        """Chooses an endpoint."""
        del now_s, service, context
        first, second = self._generator.sample(self._records, 2)
        outstanding = self._outstanding
        if outstanding[first.endpoint_id] <= outstanding[second.endpoint_id]:
            return first
        return second
