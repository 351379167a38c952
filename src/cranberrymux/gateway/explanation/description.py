"""Describes what a dry run has found, in values that JSON can hold."""

import math
from typing import Any

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.endpoints import explained_endpoint
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.zones import share_change
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway.explanation import copied_parts
from cranberrymux.gateway.explanation import dry_run
from cranberrymux.gateway.explanation import question as question_module

_DECIMAL_PLACES = 6
_MS_PER_S = 1000.0


def describe(
    parts: parts_module.GatewayParts,
    question: question_module.Question,
    route: route_module.Route | None,
    account: client_account.ClientAccount | None,
    first: dry_run.DryRun,
    granted: dry_run.DryRun,
) -> dict[str, Any]:
    """Returns the explanation of one request.

    Args:
        parts: State of the gateway.
        question: The request.
        route: Its route; None without a configuration.
        account: Its account; None for none.
        first: The request as it would arrive now.
        granted: The same, once it has a quota token if it waits for one.
    """
    copied = granted.parts
    recorded = copied.recorded
    services = [recorded.service] if recorded.service else []
    if not services and route is not None:
        services = [target.service for target in route.targets]
    chosen = recorded.chosen
    value = {
        "node": parts.settings.node_id,
        "zone": parts.settings.zone,
        "configuration_version": parts.routes.version,
        "request": question._asdict(),
        "route": None if route is None else _describe_route(route),
        "account": _describe_account(parts, route, account),
        "outcome": _name_outcome(first),
        "wait_ms": first.wait_s * _MS_PER_S,
        "refusal": _describe_refusal(first),
        "priority": _find_priority(copied),
        "admission": _describe_admission(copied),
        "service": recorded.service or None,
        "chosen": None if chosen is None else chosen.record.endpoint_id,
        "services": [_describe_service(copied, each) for each in services],
    }
    cleaned: dict[str, Any] = _clean(value)
    return cleaned


def _name_outcome(first: dry_run.DryRun) -> str:
    if first.wait_s:
        return "waits-for-token"
    return "sent" if first.refusal is None else "refused"


def _describe_route(route: route_module.Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "is_public": route.is_public,
        "priority": route.priority,
        "timeout_ms": route.timeout_s * _MS_PER_S,
        "objective_ms": route.objective_s * _MS_PER_S,
        "attempts": route.attempts,
        "targets": {each.service: each.weight for each in route.targets},
    }


def _describe_account(
    parts: parts_module.GatewayParts,
    route: route_module.Route | None,
    account: client_account.ClientAccount | None,
) -> dict[str, Any] | None:
    """Describes the account, without its keys; None if it does not count."""
    if account is None or route is None or route.is_public:
        return None
    return {
        "name": account.name,
        "priority": account.priority,
        "per_s": account.per_s if account.is_limited else None,
        "burst": account.burst if account.is_limited else None,
        "tokens_held": parts.quotas.get_held(account.name),
    }


def _describe_refusal(first: dry_run.DryRun) -> dict[str, Any] | None:
    return None if first.refusal is None else first.refusal._asdict()


def _find_priority(copied: copied_parts.CopiedParts) -> int | None:
    """Returns the priority of the account, else that of the route.

    None if the request does not get to root admission.
    """
    if not copied.traffic_classes:
        return None
    rank = copied.traffic_classes[-1].priority
    table = copied.routes.table
    if table is None or table.accounts.is_empty:
        return rank
    priority, _ = request_rank.split_rank(rank)
    return priority


def _describe_admission(
    copied: copied_parts.CopiedParts,
) -> dict[str, Any] | None:
    """Describes root admission; None if the request does not get there."""
    if not copied.traffic_classes:
        return None
    traffic_class = copied.traffic_classes[-1]
    admission = copied.entry_admission.root_admission
    now_s = copied.clock.now_s()
    services = []
    for service, cost_s in admission.get_costs(traffic_class.route).items():
        share = admission.get_service_share(service)
        account_share = admission.get_account_share(
            now_s, service, traffic_class.key
        )
        services.append(
            {
                "service": service,
                "work_ms": cost_s * _MS_PER_S,
                "share": share,
                "account_share": account_share,
                "share_in_force": share
                if account_share is None
                else account_share,
            }
        )
    services.sort(key=lambda each: (each["share_in_force"], each["service"]))
    admitted = admission.get_admitted_share(traffic_class)
    is_limited = admitted < 1.0 and bool(services)
    return {
        "priority": _find_priority(copied),
        "timing": traffic_class.timing.name.lower(),
        "route": traffic_class.route,
        "account": traffic_class.account or None,
        "admitted_share": admitted,
        "limited_by": services[0]["service"] if is_limited else None,
        "services": services,
    }


def _describe_service(
    copied: copied_parts.CopiedParts, service: str
) -> dict[str, Any]:
    recorded = copied.recorded
    shares = recorded.zones.describe(service)
    explained = recorded.explain(service, copied.clock.now_s())
    zones = {each.zone for each in explained} | {recorded.own_zone}
    return {
        "service": service,
        "zones": [
            _describe_zone(zone, recorded.own_zone, shares)
            for zone in sorted(zones, key=lambda z: (z != recorded.own_zone, z))
        ],
        "endpoints": [_describe_endpoint(each) for each in explained],
    }


def _describe_zone(
    zone: str, own_zone: str, change: share_change.ShareChange | None
) -> dict[str, Any]:
    shares = {} if change is None else change.shares
    expected_s = None if change is None else change.expected_s.get(zone)
    gain_s = None if change is None else change.gains_s.get(zone)
    share = shares.get(zone, 0.0)
    if zone == own_zone and own_zone not in shares:
        share = max(1.0 - sum(shares.values()), 0.0)
    return {
        "zone": zone,
        "is_own": zone == own_zone,
        "share": share,
        "expected_ms": None if expected_s is None else expected_s * _MS_PER_S,
        "gain_ms": None if gain_s is None else gain_s * _MS_PER_S,
        "reason": _explain_own_share(expected_s, share)
        if zone == own_zone
        else _explain_share(expected_s, gain_s, share),
    }


def _explain_own_share(expected_s: float | None, share: float) -> str:
    if expected_s is not None:
        return "what no other zone gets"
    if share:
        return "no other zone is known to take requests"
    return "no endpoint here takes requests"


def _explain_share(
    expected_s: float | None, gain_s: float | None, share: float
) -> str:
    if expected_s is None:
        return "no endpoint there takes requests, or none was compared"
    if gain_s is None or (gain_s <= 0.0 and not share):
        return "not faster by more than latency and price"
    if gain_s > 0.0:
        return "faster than the own zone by more than latency and price"
    return "gains nothing now; its share stays or falls"


def _describe_endpoint(
    explained: explained_endpoint.ExplainedEndpoint,
) -> dict[str, Any]:
    return {
        "endpoint": explained.endpoint_id,
        "zone": explained.zone,
        "verdict": explained.verdict.value,
        "detail": explained.detail,
        **explained.figures._asdict(),
    }


def _clean(value: Any) -> Any:
    """Rounds numbers; those that JSON cannot hold become None."""
    if isinstance(value, dict):
        return {name: _clean(each) for name, each in value.items()}
    if isinstance(value, list):
        return [_clean(each) for each in value]
    if isinstance(value, float):
        return round(value, _DECIMAL_PLACES) if math.isfinite(value) else None
    return value
