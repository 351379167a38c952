"""Power of two choices among the endpoints of a zone.

Callers that have all seen the same load report do not overload the same
endpoint, since each compares two that it draws at random. Where endpoints
differ in speed, the two are drawn by speed.
"""

import random

from cranberrymux.decisions.endpoints import endpoint_view


def choose(
    endpoints: list[endpoint_view.EndpointView],
    now_s: float,
    generator: random.Random,
) -> endpoint_view.EndpointView | None:
    """Returns the cheaper of two endpoints; None if there are none.

    Args:
        endpoints: Endpoints to choose from.
        now_s: Monotonic time in seconds.
        generator: Random generator that draws the two.
    """
    if not endpoints:
        return None
    if len(endpoints) == 1:
        return endpoints[0]
    first, second = _draw_two(endpoints, generator)
    if second.cost(now_s) < first.cost(now_s):
        return second
    return first


def _draw_two(
    endpoints: list[endpoint_view.EndpointView], generator: random.Random
) -> list[endpoint_view.EndpointView]:
    """Draws two endpoints, those that are faster more often.

    Drawn evenly, the fastest would get at most twice their even share and
    the slowest more than they can run where no recent load is known.
    """
    if len(endpoints) == 2 or not (
        endpoints[0].relative_time.is_service_uneven
    ):
        return generator.sample(endpoints, 2)
    weights = [endpoint.relative_time.weight for endpoint in endpoints]
    indexes = range(len(endpoints))
    (first,) = generator.choices(indexes, weights)
    weights[first] = 0.0
    (second,) = generator.choices(indexes, weights)
    return [endpoints[first], endpoints[second]]
