"""A proposal that a leader appended to its log."""

from typing import NamedTuple

from cranberrymux.consensus import effects


class Proposal(NamedTuple):
    """Index and term that identify an appended proposal.

    The proposal is committed once the entry at this index is committed with
    this term. If the entry committed at this index has another term, the
    proposal will never be committed.

    Attributes:
        log_index: Index of the proposal's entry, from 1.
        term: Term of the leader that appended it.
        effects: Messages and writes that the caller carries out now.
    """

    log_index: int
    term: int
    effects: effects.Effects
