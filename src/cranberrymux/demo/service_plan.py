"""What a deployment runs of one service."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple


class ServicePlan(NamedTuple):
    """One service of a deployment.

    Attributes:
        service: Name of the service.
        zones: Availability zone of each endpoint.
        slots: Calls that a backend server runs at once.
        service_time_ms: Mean time that a call holds a slot.
        children: Services that each call calls, in order.
        labels: Labels of the backend servers.
        crash_marker: Header value at which a backend server dies.
        spread: Share of the service time that is exponential.
    """

    service: str
    zones: Sequence[str]
    slots: int
    service_time_ms: float
    children: Sequence[str] = ()
    labels: Mapping[str, str] = {}
    crash_marker: str = ""
    spread: float = 0.0
