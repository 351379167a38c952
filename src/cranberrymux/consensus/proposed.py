"""A proposal that is in the log of the leader."""

from typing import NamedTuple

from cranberrymux.consensus import actions as actions_module


class Proposed(NamedTuple):
    """A proposal that was appended to the log, but is not yet committed.

    Attributes:
        log_index: Index of the proposal's entry. The proposal is accepted once
            the committed entry at this index has `term`, and lost once that
            entry has another term.
        term: Term of this leader.
        actions: What the caller must do now.
    """

    log_index: int
    term: int
    actions: actions_module.Actions
