"""The endpoints of one service."""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import candidate_pool
from cranberrymux.decisions.routing import learned_endpoint
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_averages
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_DONE = outcome.Outcome.DONE
_DRAINING = outcome.Outcome.DRAINING
_MAXIMUM_POOLS = 64


class ServiceTable:
    """Endpoints of a service, with pools of candidates kept per place.

    A pool is made when it is first asked for and again after a change, so
    that a choice does not look at every endpoint.
    """

    def __init__(
        self, now_s: float, settings: router_settings.RouterSettings
    ) -> None:
        """Starts empty."""
        self._settings = settings
        self._endpoints: dict[str, learned_endpoint.LearnedEndpoint] = {}
        self._pools: dict[
            selector.Selector | None, candidate_pool.CandidatePool
        ] = {}
        self._averages = service_averages.ServiceAverages(
            now_s, settings.hint_age_s
        )

    @property
    def averages(self) -> service_averages.ServiceAverages:
        """What its endpoints are like on average."""
        return self._averages

    def __iter__(self) -> Iterator[learned_endpoint.LearnedEndpoint]:
        """Walks over every endpoint, gone ones too."""
        return iter(self._endpoints.values())

    def get(self, endpoint_id: str) -> learned_endpoint.LearnedEndpoint | None:
        """Returns the endpoint, if it is known."""
        return self._endpoints.get(endpoint_id)

    def update(
        self, now_s: float, record: endpoint_record.EndpointRecord
    ) -> learned_endpoint.LearnedEndpoint:
        """Takes a record if it is newer than the news held."""
        endpoint = self._endpoints.get(record.endpoint_id)
        if endpoint is None:
            endpoint = learned_endpoint.LearnedEndpoint(
                self._settings, now_s, record
            )
            self._endpoints[record.endpoint_id] = endpoint
            self._pools.clear()
        elif endpoint.is_newer(record):
            endpoint.apply(now_s, record)
            self._pools.clear()
        return endpoint

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint."""
        del self._endpoints[endpoint_id]
        self._pools.clear()

    def expired_tombstones(self, now_s: float) -> list[str]:
        """Names gone endpoints whose records need not be kept."""
        return [
            one.record.endpoint_id
            for one in self
            if one.record.state is endpoint_state.EndpointState.GONE
            and one.outstanding == 0
            and now_s - one.gone_s >= self._settings.tombstone_s
        ]

    def pool(
        self, now_s: float, place: selector.Selector | None
    ) -> candidate_pool.CandidatePool:
        """Returns the candidates for a place."""
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
        endpoint: learned_endpoint.LearnedEndpoint,
        report: call_report.CallReport,
    ) -> None:
        """Learns from a call that ended."""
        endpoint.observe(now_s, report, self._averages)
        result = report.outcome
        if result is _DONE:
            self._averages.observe_latency(report.latency_s)
        elif result is _DRAINING:
            endpoint.leave(now_s)
            self._pools.clear()
        elif result in outcome.FAILURES:
            self._consider_ejection(now_s, endpoint)

    def maximum_ejected(self, candidates: int) -> int:
        """Number of endpoints out of so many that may be ejected at once."""
        if candidates < 2:
            return 0
        return max(1, int(candidates * self._settings.ejected_share))

    def applied_ejections(
        self,
        now_s: float,
        candidates: Iterable[learned_endpoint.LearnedEndpoint],
    ) -> set[str]:
        """Names the ejected among the candidates, as many as the cap lets.

        Those whose ejection ends first are let back in when there are too
        many for the candidates of this place.
        """
        present = list(candidates)
        ejected = [
            one for one in present if one.failures.ejected_until_s > now_s
        ]
        ejected.sort(key=lambda one: one.failures.ejected_until_s, reverse=True)
        kept = ejected[: self.maximum_ejected(len(present))]
        return {one.record.endpoint_id for one in kept}

    def _make_pool(
        self, now_s: float, place: selector.Selector | None
    ) -> candidate_pool.CandidatePool:
        known = [
            one
            for one in self
            if one.record.state is not endpoint_state.EndpointState.GONE
        ]
        matched = [
            one for one in known if place is None or place.matches(one.labels)
        ]
        serving = [one for one in matched if one.takes_work(now_s)]
        ejected = self.applied_ejections(now_s, serving)
        usable = [
            one for one in serving if one.record.endpoint_id not in ejected
        ]
        ends_s = [
            end_s
            for one in matched
            for end_s in (one.failures.ejected_until_s, one.left_until_s)
            if end_s > now_s
        ]
        return candidate_pool.CandidatePool(
            self._split(usable),
            len(matched),
            min(ends_s, default=math.inf),
            max((one.warm_s for one in usable), default=now_s),
        )

    def _split(
        self, usable: list[learned_endpoint.LearnedEndpoint]
    ) -> tuple[tuple[learned_endpoint.LearnedEndpoint, ...], ...]:
        settings = self._settings
        tiers: list[list[learned_endpoint.LearnedEndpoint]] = [[], [], []]
        for one in usable:
            if one.record.region != settings.region:
                tiers[2].append(one)
            elif one.record.zone != settings.zone:
                tiers[1].append(one)
            else:
                tiers[0].append(one)
        return tuple(tuple(tier) for tier in tiers)

    def _consider_ejection(
        self, now_s: float, endpoint: learned_endpoint.LearnedEndpoint
    ) -> None:
        failures = endpoint.failures
        if not endpoint.takes_work(now_s) or failures.ejected_until_s > now_s:
            return
        if not failures.is_suspect:
            return
        serving = [one for one in self if one.takes_work(now_s)]
        failing = sum(one.failures.is_failing for one in serving)
        if 2 * failing > len(serving):
            return  # The service fails, not this endpoint.
        rates = sum(one.failures.rate for one in serving) - failures.rate
        if not failures.is_outlier(rates / max(len(serving) - 1, 1)):
            return
        ejected = sum(one.failures.ejected_until_s > now_s for one in serving)
        if ejected < self.maximum_ejected(len(serving)):
            endpoint.eject(now_s)
            self._pools.clear()
