"""The refusals of a router, each with a time to come back."""

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
    """Refuses with a time to come back that is spread by chance."""
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
    """Refuses a call whose place no endpoint matches."""
    if place is None:
        return refuse(
            settings,
            generator,
            _Reason.NO_ENDPOINT,
            "every endpoint known has left",
        )
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN,
        _Reason.NO_PLACE,
        f"no endpoint matches {place}",
        settings.no_place_retry_after_ms,
    )
