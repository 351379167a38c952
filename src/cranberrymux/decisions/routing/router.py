"""Chooses the endpoint that a call goes to."""

from collections.abc import Sequence
import random

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import candidate_pool
from cranberrymux.decisions.routing import explainer
from cranberrymux.decisions.routing import explanation
from cranberrymux.decisions.routing import learned_endpoint
from cranberrymux.decisions.routing import outcome as outcome_module
from cranberrymux.decisions.routing import refusals
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import sampler
from cranberrymux.decisions.routing import service_table
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context

_Reason = refusal_reason.RefusalReason


class Router:
    """Knows the endpoints of the services that a node calls.

    Places are hard: an endpoint outside the place selector is never chosen.
    """

    def __init__(
        self,
        settings: router_settings.RouterSettings,
        generator: random.Random,
    ) -> None:
        """Starts without endpoints.

        Args:
            settings: Where the router stands and how it weighs.
            generator: Source of chance.
        """
        self._settings = settings
        self._generator = generator
        self._margins = (0.0, settings.zone_margin, settings.region_margin)
        self._tables: dict[str, service_table.ServiceTable] = {}
        self._services: dict[str, str] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services with at least one endpoint known."""
        return tuple(self._tables)

    def update_endpoints(
        self,
        now_s: float,
        service: str,
        records: Sequence[endpoint_record.EndpointRecord],
    ) -> None:
        """Takes news of endpoints; what is not named stays as it is.

        Args:
            now_s: Monotonic seconds.
            service: The service; records of another are ignored.
            records: News in any order, old or new.
        """
        table = self._tables.get(service)
        if table is None:
            if not records:
                return
            table = service_table.ServiceTable(now_s, self._settings)
            self._tables[service] = table
        for record in records:
            if record.service == service and self._leaves_other(record):
                table.update(now_s, record)
                self._services[record.endpoint_id] = service
        for endpoint_id in table.expired_tombstones(now_s):
            table.remove(endpoint_id)
            del self._services[endpoint_id]

    def drop_service(self, service: str) -> None:
        """Forgets a service that is no longer called."""
        table = self._tables.pop(service, None)
        for one in table or ():
            del self._services[one.record.endpoint_id]

    def choose(
        self,
        now_s: float,
        service: str,
        context: request_context.RequestContext,
        place: selector.Selector | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> endpoint_record.EndpointRecord | refusal.Refusal:
        """Chooses an endpoint; changes nothing but the generator.

        Args:
            now_s: Monotonic seconds.
            service: The service called.
            context: Context of the call.
            place: Where the call may run; None for anywhere.
            excluded: Ids of endpoints that the call was at already.

        Returns:
            The endpoint, or why the call was not run.
        """
        table = self._tables.get(service)
        if table is None:
            return self._refuse(_Reason.NO_ENDPOINT, "no endpoint is known")
        pool = table.pool(now_s, place)
        if pool.matched == 0:
            return refusals.refuse_unmatched(
                self._settings, self._generator, place
            )
        one = sampler.Sampler(
            self._generator, now_s, table.averages, context.priority, excluded
        )
        chosen = self._choose_tier(one, pool)
        if chosen is None and one.closed:
            if self._generator.random() >= self._settings.probe_share:
                return self._refuse(
                    _Reason.OVERLOADED,
                    "every endpoint known takes only more important calls",
                )
            one = sampler.Sampler(
                self._generator, now_s, table.averages, None, excluded
            )
            chosen = self._choose_tier(one, pool)
        if chosen is None:
            return self._refuse(
                _Reason.NO_ENDPOINT, "no endpoint takes new work"
            )
        return chosen.record

    def started(self, now_s: float, endpoint_id: str) -> None:
        """Counts a call that is sent to an endpoint."""
        del now_s
        endpoint = self._find(endpoint_id)
        if endpoint is not None:
            endpoint.outstanding += 1

    def finished(
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
        """Learns from a call that ended; once for each `started`.

        Args:
            now_s: Monotonic seconds.
            endpoint_id: Where the call was.
            outcome: How it ended.
            latency_s: Seconds since it was sent.
            level: The level on the answer; None if there was none.
            load: Load of the endpoint, 0 to 1; None if not told.
            incarnation: Incarnation of the record that was chosen; what
                another did says nothing of the present one. None to learn
                from the answer in any case.
        """
        service = self._services.get(endpoint_id)
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
        """Says of each endpoint why it is or is not a candidate."""
        table = self._tables.get(service)
        if table is None:
            return ()
        query = explainer.Query(now_s, context, place, excluded)
        return explainer.explain(self._settings, table, query)

    def _choose_tier(
        self, one: sampler.Sampler, pool: candidate_pool.CandidatePool
    ) -> learned_endpoint.LearnedEndpoint | None:
        chosen = None
        lowest = 0.0
        for margin, tier in zip(self._margins, pool.tiers, strict=True):
            picked = one.pick(tier, pool.warm_s) if tier else None
            if picked is None:
                continue
            cost = picked.cost + margin
            if chosen is None or cost < lowest:
                chosen = picked.endpoint
                lowest = cost
            if picked.cost <= self._settings.spill_cost:
                break
        return chosen

    def _find(
        self, endpoint_id: str
    ) -> learned_endpoint.LearnedEndpoint | None:
        service = self._services.get(endpoint_id)
        return (
            None if service is None else self._tables[service].get(endpoint_id)
        )

    def _leaves_other(self, record: endpoint_record.EndpointRecord) -> bool:
        other = self._services.get(record.endpoint_id)
        if other is None or other == record.service:
            return True
        table = self._tables[other]
        held = table.get(record.endpoint_id)
        if held is not None and not held.is_newer(record):
            return False
        table.remove(record.endpoint_id)
        return True

    def _refuse(
        self, reason: refusal_reason.RefusalReason, detail: str
    ) -> refusal.Refusal:
        return refusals.refuse(self._settings, self._generator, reason, detail)
