"""Checks that a backend server gets no more requests than its limit allows.

The limit is the number of requests a second that it names in its answers, for
all instances together. It binds an instance once it has passed on such an
answer.
"""

import math
from typing import NamedTuple

WINDOW_S = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
# Time after the first answer with a limit from which windows count.
STABILITY_WINDOW_S = 3.0
# Time after an instance passed on such an answer from which it is bound.
BINDING_DELAY_S = 0.5


class Arrival(NamedTuple):
    """A request that a backend server got.

    Attributes:
        at_s: Time of its arrival, monotonic seconds.
        instance: Name of the instance where it began.
    """

    at_s: float
    instance: str


class Naming(NamedTuple):
    """A limit that a backend server names from some time on.

    Attributes:
        at_s: The time, monotonic seconds.
        per_s: Requests a second; None for no limit.
    """

    at_s: float
    per_s: float | None


class Binding(NamedTuple):
    """An instance that passed on an answer with a limit.

    Attributes:
        at_s: Time at which it passed it on, monotonic seconds.
        instance: Name of the instance.
        excused_from_s: Time of its next restart, freeze or cut, monotonic
            seconds.
    """

    at_s: float
    instance: str
    excused_from_s: float = math.inf


class Excess(NamedTuple):
    """A window in which a backend server got too many requests.

    Attributes:
        at_s: End of the window, monotonic seconds.
        count: Requests that it got in the window.
        allowed: Requests that it should have got at most.
    """

    at_s: float
    count: int
    allowed: float

    def __str__(self):
        return (
            f"{self.count} requests in {WINDOW_S:.0f} s, allowed"
            f" {self.allowed:.1f}, at {self.at_s:.3f} s"
        )


def find_excesses(namings, arrivals, bindings):
    """Returns the windows in which one process got too many requests.

    Args:
        namings: What it named, in order; nothing before the first one.
        arrivals: Requests that it got, in any order.
        bindings: Instances that passed on one of its answers with a limit.
    """
    first_s = min(
        (naming.at_s for naming in namings if naming.per_s is not None),
        default=math.inf,
    )
    counted = sorted(
        arrival.at_s for arrival in arrivals if _is_bound(arrival, bindings)
    )
    excesses = []
    first_in_window = 0
    for last_in_window, end_s in enumerate(counted):
        while counted[first_in_window] <= end_s - WINDOW_S:
            first_in_window += 1
        from_s = end_s - WINDOW_S
        if from_s < first_s + STABILITY_WINDOW_S:
            continue
        limited = _integrate(namings, from_s, end_s)
        if limited is None:
            continue
        allowed = TOLERANCE_FACTOR * limited + TOLERANCE_REQUESTS
        count = last_in_window - first_in_window + 1
        if count > allowed:
            excesses.append(Excess(end_s, count, allowed))
    return excesses


def _is_bound(arrival, bindings):
    return any(
        binding.instance == arrival.instance
        and binding.at_s + BINDING_DELAY_S
        <= arrival.at_s
        < binding.excused_from_s
        for binding in bindings
    )


def _integrate(namings, from_s, until_s):
    """Returns the requests that the limit allows; None if it was not named.

    Args:
        namings: What the backend server named, in order.
        from_s: Begin of the time, monotonic seconds.
        until_s: Its end.
    """
    allowed = 0.0
    for place, naming in enumerate(namings):
        ended_s = (
            namings[place + 1].at_s if place + 1 < len(namings) else until_s
        )
        span_s = min(ended_s, until_s) - max(naming.at_s, from_s)
        if span_s <= 0:
            continue
        if naming.per_s is None:
            return None
        allowed += naming.per_s * span_s
    return allowed
