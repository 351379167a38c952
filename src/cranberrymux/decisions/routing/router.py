"""Choice of the endpoint that a call is sent to."""

from collections.abc import Sequence
import random

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import candidate_pool
from cranberrymux.decisions.routing import explainer
from cranberrymux.decisions.routing import explanation
from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.decisions.routing import refusals
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import sampler
from cranberrymux.decisions.routing import service_table
from cranberrymux.decisions.routing import tracked_endpoint
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context

_Reason = refusal_reason.RefusalReason


class Router:
    """Chooses among the endpoints of the services that a node calls.

    A place selector is a hard constraint: an endpoint that does not match it
    is never chosen.
    """

    def __init__(
        self,
        settings: router_settings.RouterSettings,
        generator: random.Random,
    ) -> None:
        """Starts without endpoints.

        Args:
            settings: Location of the node and parameters of the choice.
            generator: Random generator of choices, probes and retry-after
                times.
        """
        self._settings = settings
        self._generator = generator
        self._tier_margins = (0.0, settings.zone_margin, settings.region_margin)
        self._tables: dict[str, service_table.ServiceTable] = {}
        self._service_of: dict[str, str] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that a table of endpoints is kept for."""
        return tuple(self._tables)

    def update_endpoints(
        self,
        now_s: float,
        service: str,
        records: Sequence[endpoint_record.EndpointRecord],
    ) -> None:
        """Applies newer endpoint records; other endpoints stay unchanged.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service; records of others are ignored.
            records: Records in any order, older ones among them.
        """
        table = self._tables.get(service)
        if table is None:
            if not records:
                return
            table = service_table.ServiceTable(now_s, self._settings)
            self._tables[service] = table
        for record in records:
            if record.service == service and self._release_from_other_service(
                record
            ):
                table.update(now_s, record)
                self._service_of[record.endpoint_id] = service
        for endpoint_id in table.expired_tombstones(now_s):
            table.remove(endpoint_id)
            del self._service_of[endpoint_id]

    def drop_service(self, service: str) -> None:
        """Removes a service that is no longer called, with its endpoints."""
        table = self._tables.pop(service, None)
        for endpoint in table or ():
            del self._service_of[endpoint.record.endpoint_id]

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
        place: selector.Selector | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> endpoint_record.EndpointRecord | refusal.Refusal:
        """Chooses an endpoint for a call.

        A small share of the calls that every endpoint would refuse by its
        level is sent all the same, as probes.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service called.
            context: Context of the call; its priority is compared with levels.
            place: Place selector that the endpoint must match; None for all.
            excluded: Ids of endpoints that the call must not go to.

        Returns:
            The endpoint, or the refusal that answers the call.
        """
        table = self._tables.get(service)
        if table is None:
            return self._refuse(
                _Reason.NO_ENDPOINT, "no endpoint of the service is known"
            )
        pool = table.pool(now_s, place)
        if pool.matched_count == 0:
            return refusals.refuse_unmatched(
                self._settings, self._generator, place
            )
        candidate_sampler = sampler.Sampler(
            self._generator, now_s, table.averages, context.priority, excluded
        )
        chosen = self._choose_among_tiers(candidate_sampler, pool)
        if chosen is None and candidate_sampler.is_level_exceeded:
            if self._generator.random() >= self._settings.probe_share:
                return self._refuse(
                    _Reason.OVERLOADED,
                    "every known endpoint admits only calls of higher priority",
                )
            candidate_sampler = sampler.Sampler(
                self._generator, now_s, table.averages, None, excluded
            )
            chosen = self._choose_among_tiers(candidate_sampler, pool)
        if chosen is None:
            return self._refuse(
                _Reason.NO_ENDPOINT, "no known endpoint accepts new calls"
            )
        return chosen.record

    def call_started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call sent to an endpoint as in flight."""
        del now_s
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is not None:
            endpoint.outstanding += 1

    def call_finished(
        self,
        now_s: float,
        endpoint_id: str,
        outcome: outcome_module.Outcome,
        latency_s: float,
        level: int | None = None,
        *,
        load: float | None = None,
        incarnation: int | None = None,
    ) -> None:
        """Learns from a call that ended; called once per `call_started`.

        Args:
            now_s: Monotonic time in seconds.
            endpoint_id: Id of the endpoint that the call was sent to.
            outcome: How the call ended.
            latency_s: Seconds from sending the call to its end.
            level: Highest priority number that the endpoint admits; None if
                the answer named none.
            load: Share of the endpoint's capacity in use, 0 to 1; None if the
                answer named none.
            incarnation: Incarnation of the record that was chosen. If the
                endpoint has another one by now, nothing is learned, since the
                call says nothing about it. None to learn in any case.
        """
        service = self._service_of.get(endpoint_id)
        if service is None:
            return
        table = self._tables[service]
        endpoint = table.get(endpoint_id)
        if endpoint is None:
            return
        if endpoint.outstanding > 0:
            endpoint.outstanding -= 1
        if incarnation not in {None, endpoint.record.incarnation}:
            return
        report = call_report.CallReport(outcome, latency_s, level, load)
        table.finish(now_s, endpoint, report)

    def explain(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
        place: selector.Selector | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> tuple[explanation.Explanation, ...]:
        """Explains for each endpoint why `choose` may or may not take it.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service called.
            context: Context of the call.
            place: Place selector that endpoints must match; None for all.
            excluded: Ids of endpoints that the call must not go to.

        Returns:
            One explanation per known endpoint, nearest first.
        """
        table = self._tables.get(service)
        if table is None:
            return ()
        query = explainer.Query(now_s, context, place, excluded)
        return explainer.explain(self._settings, table, query)

    def _choose_among_tiers(
        self,
        candidate_sampler: sampler.Sampler,
        pool: candidate_pool.CandidatePool,
    ) -> tracked_endpoint.TrackedEndpoint | None:
        chosen = None
        lowest_cost = 0.0
        for margin, tier in zip(self._tier_margins, pool.tiers, strict=True):
            picked = candidate_sampler.pick(tier, pool.warm_s) if tier else None
            if picked is None:
                continue
            cost = picked.cost + margin
            if chosen is None or cost < lowest_cost:
                chosen = picked.endpoint
                lowest_cost = cost
            if picked.cost <= self._settings.spill_cost:
                break
        return chosen

    def _find_endpoint(
        self, endpoint_id: str
    ) -> tracked_endpoint.TrackedEndpoint | None:
        service = self._service_of.get(endpoint_id)
        return (
            None if service is None else self._tables[service].get(endpoint_id)
        )

    def _release_from_other_service(
        self, record: endpoint_record.EndpointRecord
    ) -> bool:
        old_service = self._service_of.get(record.endpoint_id)
        if old_service is None or old_service == record.service:
            return True
        table = self._tables[old_service]
        known = table.get(record.endpoint_id)
        if known is not None and not known.is_newer(record):
            return False
        table.remove(record.endpoint_id)
        return True

    def _refuse(
        self, reason: refusal_reason.RefusalReason, detail: str
    ) -> refusal.Refusal:
        return refusals.refuse(self._settings, self._generator, reason, detail)
