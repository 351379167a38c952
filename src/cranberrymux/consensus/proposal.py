"""A proposal that a leader took."""

from typing import NamedTuple

from cranberrymux.consensus import effects


class Proposal(NamedTuple):
    """Where the proposal stands in the log.

    It is accepted when an entry with this index and term is committed, and
    proven not accepted when one with this index and another term is.

    Attributes:
        log_index: Place in the log.
        term: Term of the leader that took it.
        effects: What to do now.
    """

    log_index: int
    term: int
    effects: effects.Effects
