"""Plan of the endpoints of one service in a deployment."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple


class ServicePlan(NamedTuple):
    """Endpoints of one service and the settings of their stand-ins.

    Attributes:
        service: Name of the service.
        zones: Availability zone of each endpoint, one entry an endpoint.
        slots: Limit of concurrent calls of each stand-in.
        service_time_ms: Mean time that a call holds a slot.
        children: Names of the services that each call calls in turn.
        labels: Labels that each stand-in announces.
        crash_marker: Value of the crash header at which a stand-in exits;
            empty for none.
        spread: Share of the service time that is exponentially distributed,
            from 0 to 1.
    """

    service: str
    zones: Sequence[str]
    slots: int
    service_time_ms: float
    children: Sequence[str] = ()
    labels: Mapping[str, str] = {}
    crash_marker: str = ""
    spread: float = 0.0
