"""What one selector decides."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector


class SelectorRule(NamedTuple):
    """A selector of the document.

    Attributes:
        name: Its name.
        match: Requests that it applies to, by their labels.
        class_rank: Rank of their class; None if it does not say.
        once_only: True if they may run at most once.
        idempotent: True if they may run again after a lost outcome.
        place: Endpoints that may run them, by labels; None for any.
        strict: True if they are refused once the configuration cannot be
            vouched for.
    """

    name: str
    match: selector.Selector
    class_rank: int | None
    once_only: bool
    idempotent: bool
    place: selector.Selector | None
    strict: bool
