"""Checks who ran each request against the versions that may be in force.

A run by a backend service, or a refusal because no route matches, shows which
versions the node that took the request may hold.
"""

import bisect
import collections
import math
from typing import NamedTuple

from tests.soak import account_checks
from tests.soak.configuration import documents

APPLY_S = 2.0
# An unstable core stretches the time by so much, while most of it runs.
MAXIMUM_SKEW_S = 5.0
DOWNGRADE_S = 0.25
SLOWED_FACTOR = 8
CATCH_UP_S = 4.0
MINIMUM_LATER_REQUESTS = 20
MINIMUM_LATER_SHARE = 0.25
MAXIMUM_DENIED = 10
NOT_FOUND = 404


class Probe(NamedTuple):
    """A request, and the route on which it was sent.

    Attributes:
        request: The request as its client saw it.
        prefix: Path prefix of the route.
    """

    request: object
    prefix: str


class Handling(NamedTuple):
    """How a request was handled.

    Attributes:
        probe: The request.
        service: Backend service that ran it; empty if it got 404.
        at_s: Time of the run or of the refusal, monotonic seconds.
    """

    probe: Probe
    service: str
    at_s: float

    def __str__(self):
        request = self.probe.request
        how = f"run by {self.service}" if self.service else "refused with 404"
        return (
            f"{request.request_id} {self.probe.prefix} at {request.machine},"
            f" sent {request.sent_s:.3f} s: {how}"
        )


class Circumstances(NamedTuple):
    """What was disturbed when.

    Attributes:
        spans: Disturbances of nodes, by machine, and of control instances.
        core: Names of the control instances, all that ever ran.
        core_size: Number of control instances that run at a time.
        starts_s: Start times of each machine's node, monotonic seconds.
    """

    spans: object
    core: tuple[str, ...]
    core_size: int
    starts_s: dict[str, list[float]]


def list_handlings(probes, records, services):
    """Returns how requests were handled, in the order of the times.

    Args:
        probes: All requests.
        records: Records of the backend servers, by name of the machine.
        services: Backend service of each machine.
    """
    by_id = {probe.request.request_id: probe for probe in probes}
    handlings = [
        Handling(by_id[line["id"]], services[machine], line["at"])
        for machine, lines in records.items()
        for line in lines
        if line["event"] == "begin"
        and not account_checks.is_call(line["id"])
        and line["id"] in by_id
    ]
    handlings += [
        Handling(probe, "", probe.request.ended_s)
        for probe in probes
        if probe.request.status == NOT_FOUND
    ]
    return sorted(handlings, key=lambda handling: handling.at_s)


def find_violations(probes, handlings, history, circumstances):
    """Returns one message for each violation."""
    return [
        *_find_foreign_runs(handlings, history),
        *_find_late(handlings, history.possible, circumstances),
        *_find_regressions(handlings, history.possible, circumstances),
        *_find_denied(handlings, history.possible),
        *_find_unserved(probes, history.possible, circumstances),
    ]


def _find_foreign_runs(handlings, history):
    possible, changes = history.possible, history.changes
    for handling in handlings:
        if not handling.service or _any_permits(possible, handling):
            continue
        if _any_permits(changes, handling):
            yield f"CONFIG {handling}: only a refused configuration allows it"
        else:
            yield f"ROUTE {handling}: no configuration allows it"


def _any_permits(changes, handling):
    return any(_permits(change, handling) for change in changes)


def _permits(change, handling):
    return change.document.permits(handling.probe.prefix, handling.service)


def get_floor(possible, until_s):
    """Returns the newest version acknowledged until a time; 0 for none."""
    return max(
        (
            change.document.version
            for change in possible
            if change.acknowledged_s <= until_s
        ),
        default=0,
    )


def _find_late(handlings, possible, circumstances):
    for handling in handlings:
        request = handling.probe.request
        apply_s = _get_apply_s(request, possible, circumstances)
        floor = get_floor(possible, request.sent_s - apply_s)
        # Before the first version nodes know no routes.
        if not floor or any(
            _permits(change, handling)
            for change in possible
            if change.document.version >= floor
            and change.sent_s <= handling.at_s
        ):
            continue
        yield f"CONFIG {handling}: version {floor} was acknowledged"


def _get_apply_s(request, possible, circumstances):
    """Returns how late a version may come; infinite if there is no bound."""
    spans = circumstances.spans
    if not spans.is_calm({request.machine}, request.sent_s, request.ended_s):
        return math.inf
    if spans.is_calm(circumstances.core, request.sent_s, request.ended_s):
        return APPLY_S
    stretched_s = APPLY_S + MAXIMUM_SKEW_S
    floor = get_floor(possible, request.sent_s - stretched_s)
    from_s = min(
        (
            change.acknowledged_s
            for change in possible
            if change.document.version == floor
        ),
        default=math.inf,
    )
    disturbed = spans.find_targets(from_s - CATCH_UP_S, request.ended_s)
    lost = disturbed.intersection(circumstances.core)
    if 2 * len(lost) < circumstances.core_size:
        return stretched_s
    return math.inf


def _find_regressions(handlings, possible, circumstances):
    by_node = collections.defaultdict(list)
    for handling in handlings:
        incarnation = _get_incarnation(handling, circumstances.starts_s)
        if incarnation is not None:
            by_node[incarnation].append(handling)
    for of_node in by_node.values():
        yield from _find_regressions_of_node(of_node, possible, circumstances)


def _get_incarnation(handling, starts_s):
    """Returns machine and start number; None if it restarted meanwhile."""
    request = handling.probe.request
    starts = starts_s[request.machine]
    number = bisect.bisect(starts, request.sent_s)
    if number != bisect.bisect(starts, request.ended_s):
        return None
    return (request.machine, number)


def _find_regressions_of_node(handlings, possible, circumstances):
    # Times and versions that runs have shown, both ascending.
    seen = [(-math.inf, 0)]
    for handling in handlings:
        request = handling.probe.request
        spans = circumstances.spans
        is_calm = spans.is_calm(
            {request.machine}, request.sent_s, request.ended_s
        )
        delay_s = DOWNGRADE_S * (1 if is_calm else SLOWED_FACTOR)
        place = bisect.bisect(seen, (request.sent_s - delay_s, 0)) - 1
        shown = seen[max(place, 0)][1]
        versions = [
            change.document.version
            for change in possible
            if _permits(change, handling) and change.sent_s <= handling.at_s
        ]
        if not versions:
            continue
        if max(versions) < shown:
            yield f"CONFIG {handling}: the node has shown version {shown}"
        elif handling.service and min(versions) > seen[-1][1]:
            seen.append((handling.at_s, min(versions)))


def _find_denied(handlings, possible):
    denied = [
        handling
        for handling in handlings
        if not handling.service
        and possible
        and not any(_permits(change, handling) for change in possible)
    ]
    if len(denied) > MAXIMUM_DENIED:
        yield f"DENIED {len(denied)} requests got 404, first {denied[0]}"


def _find_unserved(probes, possible, circumstances):
    """Checks that routes added later are served as often as the first ones."""
    calm = [
        probe
        for probe in probes
        if circumstances.spans.is_calm(
            {probe.request.machine, *circumstances.core},
            probe.request.sent_s,
            probe.request.ended_s,
        )
    ]
    first = [
        probe for probe in calm if probe.prefix in documents.FIRST_PREFIXES
    ]
    later = [probe for probe in calm if _is_on_later_route(probe, possible)]
    if len(later) < MINIMUM_LATER_REQUESTS or not first:
        return
    shares = [
        sum(probe.request.status == 200 for probe in group) / len(group)
        for group in (first, later)
    ]
    if shares[1] < MINIMUM_LATER_SHARE * shares[0]:
        yield f"CONFIG served: first routes {shares[0]}, later {shares[1]}"


def _is_on_later_route(probe, possible):
    """True if all versions that may be in force have the route."""
    request = probe.request
    floor = get_floor(possible, request.sent_s - APPLY_S)
    return (
        probe.prefix.startswith("/add")
        and floor > 0
        and all(
            probe.prefix in change.document.routes
            for change in possible
            if change.document.version >= floor
            and change.sent_s <= request.ended_s
        )
    )
