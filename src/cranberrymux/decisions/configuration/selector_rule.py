"""A selector rule of the configuration document."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector


class SelectorRule(NamedTuple):
    """The properties that a rule assigns to the requests it matches.

    Attributes:
        name: Name of the rule, unique in the document.
        match: Selects requests by their labels.
        class_rank: Rank of the class of the requests; None if the rule names
            no class.
        once_only: True if the requests may run at most once.
        idempotent: True if the requests may run again when their outcome was
            lost.
        place: Selects by label the endpoints that may run the requests; None
            for any endpoint.
        strict: True if the requests are refused while no control instance
            confirms that the node's configuration is current.
    """

    name: str
    match: selector.Selector
    class_rank: int | None
    once_only: bool
    idempotent: bool
    place: selector.Selector | None
    strict: bool
