"""Combines the place selectors of a call into one."""

import functools

from cranberrymux.decisions.selectors import selector

_CACHED_SELECTORS = 1024


@functools.lru_cache(maxsize=_CACHED_SELECTORS)
def join_places(
    places: tuple[selector.Selector, ...],
) -> selector.Selector | None:
    """Returns a selector that matches where all given selectors match.

    Args:
        places: Selectors that an endpoint's labels must all match.

    Returns:
        Their conjunction; None if there are none.
    """
    if not places:
        return None
    return selector.Selector(
        tuple(term for place in places for term in place.terms)
    )
