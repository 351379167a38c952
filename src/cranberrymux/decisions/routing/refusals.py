"""Refusals of calls for which a router has no endpoint."""

import random

from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_Reason = refusal_reason.RefusalReason


def refuse(
    settings: router_settings.RouterSettings,
    generator: random.Random,
    reason: refusal_reason.RefusalReason,
    detail: str,
) -> refusal.Refusal:
    """Refuses a call that may succeed when sent again later.

    Args:
        settings: Bounds of the retry-after time.
        generator: Random generator that spreads the retry-after times evenly,
            so that refused callers do not all come back at once.
        reason: Why the call is refused.
        detail: The reason in one line for people.
    """
    first_ms = settings.retry_after_minimum_ms
    spread_ms = settings.retry_after_maximum_ms - first_ms
    retry_after_ms = first_ms + int(spread_ms * generator.random())
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN, reason, detail, retry_after_ms
    )


def refuse_unmatched(
    settings: router_settings.RouterSettings,
    generator: random.Random,
    place: selector.Selector | None,
) -> refusal.Refusal:
    """Refuses a call because no endpoint but gone ones matches its place.

    Args:
        settings: Bounds of the retry-after time.
        generator: Random generator of the retry-after time.
        place: Place selector of the call; None for a call without one, for
            which every endpoint of the service is gone.
    """
    if place is None:
        return refuse(
            settings,
            generator,
            _Reason.NO_ENDPOINT,
            "every known endpoint of the service is gone",
        )
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN,
        _Reason.NO_PLACE,
        f"no endpoint matches the place selector {place}",
        settings.no_place_retry_after_ms,
    )
