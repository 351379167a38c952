"""Result of a call, as the input of what is learned of its endpoint."""

from typing import NamedTuple

from cranberrymux.decisions.routing import outcome as outcome_module


class CallReport(NamedTuple):
    """Outcome of an ended call and what the answer said of the endpoint.

    Attributes:
        outcome: How the call ended.
        latency_s: Seconds from sending the call to its end.
        level: Highest priority number that the endpoint admits (0 is shed
            last); None if the answer named none.
        load: Share of the endpoint's capacity in use, 0 to 1; None if the
            answer named none.
    """

    outcome: outcome_module.Outcome
    latency_s: float
    level: int | None = None
    load: float | None = None
