"""Power of two choices among the endpoints of a zone.

Callers that have all seen the same load report do not overload the same
endpoint, since each compares two that it draws at random. Where endpoints
differ in speed, the two are drawn by speed.
"""

import random

from cranberrymux.decisions.endpoints import endpoint_view


def draw(
    endpoints: list[endpoint_view.EndpointView], generator: random.Random
) -> list[endpoint_view.EndpointView]:
    """Returns two endpoints drawn at random, or all if there are fewer."""
    if len(endpoints) < 2:
        return endpoints
    return _draw_two(endpoints, generator)


def find_cheaper(
    drawn: list[endpoint_view.EndpointView], now_s: float
) -> endpoint_view.EndpointView | None:
    """Returns the cheaper of the endpoints drawn; None if there are none.

    Args:
        drawn: At most two endpoints.
        now_s: Monotonic time in seconds.
    """
    if len(drawn) < 2:
        return drawn[0] if drawn else None
    first, second = drawn
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
