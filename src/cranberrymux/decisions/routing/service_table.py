"""Table of the endpoints of one service."""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import candidate_pool
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_averages
from cranberrymux.decisions.routing import tracked_endpoint
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_DONE = outcome.Outcome.DONE
_DRAINING = outcome.Outcome.DRAINING
_MAXIMUM_POOLS = 64


class ServiceTable:
    """Endpoints of a service, with a cached pool of candidates per place.

    A pool is built when it is first needed and rebuilt after a change, so
    that a choice does not iterate over every endpoint.
    """

    def __init__(
        self, now_s: float, settings: router_settings.RouterSettings
    ) -> None:
        """Starts without endpoints."""
        self._settings = settings
        self._endpoints: dict[str, tracked_endpoint.TrackedEndpoint] = {}
        self._pools: dict[
            selector.Selector | None, candidate_pool.CandidatePool
        ] = {}
        self._averages = service_averages.ServiceAverages(
            now_s, settings.hint_lifetime_s
        )

    @property
    def averages(self) -> service_averages.ServiceAverages:
        """Average latency and load of the endpoints."""
        return self._averages

    def __iter__(self) -> Iterator[tracked_endpoint.TrackedEndpoint]:
        """Iterates over every endpoint, including gone ones."""
        return iter(self._endpoints.values())

    def get(self, endpoint_id: str) -> tracked_endpoint.TrackedEndpoint | None:
        """Returns the endpoint with this id, or None if it is unknown."""
        return self._endpoints.get(endpoint_id)

    def update(
        self, now_s: float, record: endpoint_record.EndpointRecord
    ) -> tracked_endpoint.TrackedEndpoint:
        """Adds an endpoint, or applies a record newer than the one held."""
        endpoint = self._endpoints.get(record.endpoint_id)
        if endpoint is None:
            endpoint = tracked_endpoint.TrackedEndpoint(
                self._settings, now_s, record
            )
            self._endpoints[record.endpoint_id] = endpoint
            self._pools.clear()
        elif endpoint.is_newer(record):
            endpoint.apply(now_s, record)
            self._pools.clear()
        return endpoint

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint, which must be known."""
        del self._endpoints[endpoint_id]
        self._pools.clear()

    def expired_tombstones(self, now_s: float) -> list[str]:
        """Returns the ids of gone endpoints whose records may be removed."""
        return [
            endpoint.record.endpoint_id
            for endpoint in self
            if endpoint.record.state is endpoint_state.EndpointState.GONE
            and endpoint.outstanding == 0
            and now_s - endpoint.gone_s >= self._settings.tombstone_s
        ]

    def pool(
        self, now_s: float, place: selector.Selector | None
    ) -> candidate_pool.CandidatePool:
        """Returns the candidates for a place; None stands for any place."""
        pool = self._pools.get(place)
        if pool is not None and now_s < pool.valid_until_s:
            return pool
        if len(self._pools) >= _MAXIMUM_POOLS:
            self._pools.clear()
        pool = self._make_pool(now_s, place)
        self._pools[place] = pool
        return pool

    def finish(
        self,
        now_s: float,
        endpoint: tracked_endpoint.TrackedEndpoint,
        report: call_report.CallReport,
    ) -> None:
        """Learns from a call that ended and may eject its endpoint."""
        endpoint.observe(now_s, report, self._averages)
        result = report.outcome
        if result is _DONE:
            self._averages.observe_latency(report.latency_s)
        elif result is _DRAINING:
            endpoint.note_draining(now_s)
            self._pools.clear()
        elif result in outcome.FAILURES:
            self._eject_outlier(now_s, endpoint)

    def maximum_ejected(self, candidates: int) -> int:
        """Returns how many of so many candidates may be ejected at once."""
        if candidates < 2:
            return 0
        return max(1, int(candidates * self._settings.maximum_ejected_share))

    def applied_ejections(
        self,
        now_s: float,
        candidates: Iterable[tracked_endpoint.TrackedEndpoint],
    ) -> set[str]:
        """Returns the ids of the candidates whose ejection is applied.

        If more of them are ejected than the cap allows, those whose ejection
        ends first stay in use. This happens when many of the endpoints ejected
        in the service match the same place.
        """
        listed = list(candidates)
        ejected = [
            endpoint
            for endpoint in listed
            if endpoint.failures.ejected_until_s > now_s
        ]
        ejected.sort(
            key=lambda endpoint: endpoint.failures.ejected_until_s, reverse=True
        )
        kept = ejected[: self.maximum_ejected(len(listed))]
        return {endpoint.record.endpoint_id for endpoint in kept}

    def _make_pool(
        self, now_s: float, place: selector.Selector | None
    ) -> candidate_pool.CandidatePool:
        present = [
            endpoint
            for endpoint in self
            if endpoint.record.state is not endpoint_state.EndpointState.GONE
        ]
        matched = [
            endpoint
            for endpoint in present
            if place is None or place.matches(endpoint.labels)
        ]
        serving = [
            endpoint for endpoint in matched if endpoint.accepts_calls(now_s)
        ]
        ejected = self.applied_ejections(now_s, serving)
        usable = [
            endpoint
            for endpoint in serving
            if endpoint.record.endpoint_id not in ejected
        ]
        ends_s = [
            end_s
            for endpoint in matched
            for end_s in (
                endpoint.failures.ejected_until_s,
                endpoint.draining_until_s,
            )
            if end_s > now_s
        ]
        return candidate_pool.CandidatePool(
            self._group_by_distance(usable),
            len(matched),
            min(ends_s, default=math.inf),
            max((endpoint.warm_s for endpoint in usable), default=now_s),
        )

    def _group_by_distance(
        self, usable: list[tracked_endpoint.TrackedEndpoint]
    ) -> tuple[tuple[tracked_endpoint.TrackedEndpoint, ...], ...]:
        settings = self._settings
        tiers: list[list[tracked_endpoint.TrackedEndpoint]] = [[], [], []]
        for endpoint in usable:
            if endpoint.record.region != settings.region:
                tiers[2].append(endpoint)
            elif endpoint.record.zone != settings.zone:
                tiers[1].append(endpoint)
            else:
                tiers[0].append(endpoint)
        return tuple(tuple(tier) for tier in tiers)

    def _eject_outlier(
        self, now_s: float, endpoint: tracked_endpoint.TrackedEndpoint
    ) -> None:
        failures = endpoint.failures
        if (
            not endpoint.accepts_calls(now_s)
            or failures.ejected_until_s > now_s
        ):
            return
        if not failures.needs_comparison:
            return
        serving = [sibling for sibling in self if sibling.accepts_calls(now_s)]
        failing = sum(sibling.failures.is_failing for sibling in serving)
        if 2 * failing > len(serving):
            return  # The whole service fails, not just this endpoint.
        sibling_rates = (
            sum(sibling.failures.rate for sibling in serving) - failures.rate
        )
        if not failures.is_outlier(sibling_rates / max(len(serving) - 1, 1)):
            return
        ejected = sum(
            sibling.failures.ejected_until_s > now_s for sibling in serving
        )
        if ejected < self.maximum_ejected(len(serving)):
            endpoint.eject(now_s)
            self._pools.clear()
