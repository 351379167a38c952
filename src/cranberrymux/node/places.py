"""Joins the place selectors of a call into one."""

import functools

from cranberrymux.decisions.selectors import selector

_CACHED_PLACES = 1024


@functools.lru_cache(maxsize=_CACHED_PLACES)
def join_places(
    places: tuple[selector.Selector, ...],
) -> selector.Selector | None:
    """Returns a selector that holds where each of them does."""
    if not places:
        return None
    return selector.Selector(
        tuple(term for place in places for term in place.terms)
    )
