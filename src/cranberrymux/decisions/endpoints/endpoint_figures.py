"""What one node knows of an endpoint, for operators."""

from typing import NamedTuple


class EndpointFigures(NamedTuple):
    """Figures that the choice of an endpoint weighs, and their ages.

    An age is in seconds, and None for a figure that never arrived.

    Attributes:
        cost: Cost of one more request, in loads of all slots.
        load: Estimated number of requests there per slot.
        load_age_s: Age of the last load report.
        outstanding: Requests of this node that have not ended there.
        slots: Slots that its record names.
        relative_time: Time of a request there, compared with the usual of the
            service.
        speed_age_s: Age of the last report of its speed.
        slowness: Ratio of present to usual working times.
        slowness_age_s: Age of the last report of that ratio.
        failure_rate: Share of requests that fail, 0 to 1.
        failure_age_s: Age of the newer of the two rates behind it.
        refusal_rate: Share of requests that its backend server refuses, 0 to 1.
        rate_limit_per_s: Requests a second that its backend server accepts;
            None without a limit.
        suspended_s: Seconds for which it gets no requests; 0.0 for none.
    """

    cost: float
    load: float
    load_age_s: float | None
    outstanding: int
    slots: int
    relative_time: float
    speed_age_s: float | None
    slowness: float
    slowness_age_s: float | None
    failure_rate: float
    failure_age_s: float | None
    refusal_rate: float
    rate_limit_per_s: float | None
    suspended_s: float
