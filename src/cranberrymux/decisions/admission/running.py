"""A call that holds a slot."""

from typing import NamedTuple

from cranberrymux.decisions.admission import ticket as ticket_module


class Running(NamedTuple):
    """One running call.

    Attributes:
        ticket: What was admitted.
        started_s: When it got its slot.
    """

    ticket: ticket_module.Ticket
    started_s: float
