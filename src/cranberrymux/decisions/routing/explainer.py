"""Tells operators why endpoints were or were not candidates."""

from typing import NamedTuple

from cranberrymux.decisions.routing import explanation
from cranberrymux.decisions.routing import learned_endpoint
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.routing import service_table
from cranberrymux.decisions.routing import verdict
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_state
from cranberrymux.models import request_context

_Verdict = verdict.Verdict


class Query(NamedTuple):
    """The call that is asked about.

    Attributes:
        now_s: Monotonic seconds.
        context: Its context.
        place: Where it may run; None for anywhere.
        excluded: Ids of endpoints where it was already.
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
    """Explains every endpoint of a service, nearest first."""
    now_s, _, place, _ = query
    matched = [
        one
        for one in table
        if one.takes_work(now_s)
        and (place is None or place.matches(one.labels))
    ]
    ejected = table.applied_ejections(now_s, matched)
    lines = []
    for one in table:
        found, detail = _judge(one, query, ejected)
        record = one.record
        lines.append(
            explanation.Explanation(
                record.endpoint_id,
                record.region,
                record.zone,
                found,
                detail,
                _distance(settings, one),
                one.outstanding,
                one.capacity(now_s),
                one.cost(now_s, table.averages),
                one.warmth(now_s),
                one.effective_level(now_s),
            )
        )
    lines.sort(key=lambda line: (line.distance, line.endpoint_id))
    return tuple(lines)


def _judge(
    one: learned_endpoint.LearnedEndpoint, query: Query, ejected: set[str]
) -> tuple[verdict.Verdict, str]:
    now_s, context, place, excluded = query
    mismatch = place.explain(one.labels) if place is not None else None
    found, detail = _Verdict.CANDIDATE, "takes new work"
    if one.record.state is endpoint_state.EndpointState.GONE:
        found, detail = _Verdict.GONE, "has left"
    elif mismatch is not None:
        found, detail = _Verdict.NO_PLACE, str(mismatch)
    elif not one.takes_work(now_s):
        found, detail = _Verdict.DRAINING, "is leaving, takes no new work"
    elif one.record.endpoint_id in excluded:
        found, detail = _Verdict.EXCLUDED, "this call was there already"
    elif one.record.endpoint_id in ejected:
        left_s = one.failures.ejected_until_s - now_s
        found = _Verdict.EJECTED
        detail = f"failed too often, back in {left_s:.1f} s"
    elif not one.admits(now_s, context.priority):
        found = _Verdict.LEVEL
        detail = (
            f"takes priorities up to {one.effective_level(now_s):.0f},"
            f" this call has {context.priority}"
        )
    return found, detail


def _distance(
    settings: router_settings.RouterSettings,
    one: learned_endpoint.LearnedEndpoint,
) -> int:
    if one.record.region != settings.region:
        return 2
    return 0 if one.record.zone == settings.zone else 1
