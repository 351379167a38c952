"""Explains for each endpoint of a service whether a call may go to it."""

from typing import NamedTuple

from cranberrymux.decisions.routing import explanation
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_table
from cranberrymux.decisions.routing import tracked_endpoint
from cranberrymux.decisions.routing import verdict
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_state
from cranberrymux.models import request_context

_Verdict = verdict.Verdict


class Query(NamedTuple):
    """The call whose candidates are to be explained.

    Attributes:
        now_s: Monotonic time in seconds.
        context: Context of the call; its priority is compared with levels.
        place: Place selector that endpoints must match; None for all.
        excluded: Ids of endpoints that the call must not go to.
    """

    now_s: float
    context: request_context.RequestContext
    place: selector.Selector | None
    excluded: frozenset[str]


def explain(
    settings: router_settings.RouterSettings,
    table: service_table.ServiceTable,
    query: Query,
) -> tuple[explanation.Explanation, ...]:
    """Explains every endpoint of a service.

    Returns:
        One explanation per endpoint, by distance and then by id.
    """
    now_s, _, place, _ = query
    serving = [
        endpoint
        for endpoint in table
        if endpoint.accepts_calls(now_s)
        and (place is None or place.matches(endpoint.labels))
    ]
    ejected = table.applied_ejections(now_s, serving)
    explanations = []
    for endpoint in table:
        found, detail = _find_verdict(endpoint, query, ejected)
        record = endpoint.record
        explanations.append(
            explanation.Explanation(
                record.endpoint_id,
                record.region,
                record.zone,
                found,
                detail,
                _distance(settings, endpoint),
                endpoint.outstanding,
                endpoint.capacity(now_s),
                endpoint.cost(now_s, table.averages),
                endpoint.warmth(now_s),
                endpoint.effective_level(now_s),
            )
        )
    explanations.sort(key=lambda row: (row.distance, row.endpoint_id))
    return tuple(explanations)


def _find_verdict(
    endpoint: tracked_endpoint.TrackedEndpoint, query: Query, ejected: set[str]
) -> tuple[verdict.Verdict, str]:
    now_s, context, place, excluded = query
    mismatch = place.explain(endpoint.labels) if place is not None else None
    found, detail = _Verdict.CANDIDATE, "accepts new calls"
    if endpoint.record.state is endpoint_state.EndpointState.GONE:
        found, detail = _Verdict.GONE, "is gone"
    elif mismatch is not None:
        found, detail = _Verdict.NO_PLACE, str(mismatch)
    elif not endpoint.accepts_calls(now_s):
        found, detail = _Verdict.DRAINING, "is draining, accepts no new calls"
    elif endpoint.record.endpoint_id in excluded:
        found, detail = (
            _Verdict.EXCLUDED,
            "was already sent this call",
        )
    elif endpoint.record.endpoint_id in ejected:
        remaining_s = endpoint.failures.ejected_until_s - now_s
        found = _Verdict.EJECTED
        detail = f"ejected for failures, returns in {remaining_s:.1f} s"
    elif not endpoint.admits(now_s, context.priority):
        found = _Verdict.LEVEL
        detail = (
            f"admits priorities up to {endpoint.effective_level(now_s):.0f},"
            f" this call has {context.priority}"
        )
    return found, detail


def _distance(
    settings: router_settings.RouterSettings,
    endpoint: tracked_endpoint.TrackedEndpoint,
) -> int:
    if endpoint.record.region != settings.region:
        return 2
    return 0 if endpoint.record.zone == settings.zone else 1
