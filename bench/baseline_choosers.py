"""Baseline choosers of endpoints that the router is compared with."""

import collections
from collections.abc import Sequence
import random

from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import request_context


class RandomChooser:
    """Chooses uniformly at random among all endpoints."""

    def __init__(
        self,
        generator: random.Random,
        records: Sequence[endpoint_record.EndpointRecord],
    ) -> None:
        """Creates a chooser without outstanding calls.

        Args:
            generator: Source of randomness.
            records: The endpoints to choose among; the list stays fixed.
        """
        self._generator = generator
        self._records = records
        self._outstanding: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord:
        """Returns a random endpoint."""
        del now_s, service, context
        return self._generator.choice(self._records)

    def call_started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call as outstanding."""
        del now_s
        self._outstanding[endpoint_id] += 1

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
        """Counts a call as no longer outstanding."""
        del now_s, outcome, latency_s, level, load
        self._outstanding[endpoint_id] -= 1


class PowerOfTwoChooser(RandomChooser):
    """Chooses the one of two random endpoints with fewer outstanding calls."""

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
    ) -> endpoint_record.EndpointRecord:
        """Returns the less loaded of two distinct random endpoints."""
        del now_s, service, context
        first, second = self._generator.sample(self._records, 2)
        outstanding = self._outstanding
        if outstanding[first.endpoint_id] <= outstanding[second.endpoint_id]:
            return first
        return second
