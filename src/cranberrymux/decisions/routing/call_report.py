"""What an ended call tells of its endpoint."""

from typing import NamedTuple

from cranberrymux.decisions.routing import outcome as outcome_module


class CallReport(NamedTuple):
    """How a call ended.

    Attributes:
        outcome: How it ended.
        latency_s: Seconds since it was sent.
        level: Highest priority that the endpoint takes; None if not told.
        load: Share of the endpoint's capacity in use; None if not told.
    """

    outcome: outcome_module.Outcome
    latency_s: float
    level: int | None = None
    load: float | None = None
