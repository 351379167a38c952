"""Endpoints and demand of several zones."""

from typing import NamedTuple

SLOTS = 12
WORK_S = 0.05


class Fleet(NamedTuple):
    """Endpoints and demand of each zone, by number of the zone.

    Attributes:
        endpoints: Number of endpoints in each zone.
        demand: Relative demand of each zone.
        slots: Slots of each endpoint.
        work_s: Mean working time of a request.
    """

    endpoints: tuple[int, ...]
    demand: tuple[float, ...]
    slots: int = SLOTS
    work_s: float = WORK_S

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all endpoints together can run."""
        return sum(self.endpoints) * self.slots / self.work_s


FLEETS = {
    3: Fleet((5, 3, 2), (0.4, 0.3, 0.3)),
    4: Fleet((6, 4, 3, 2), (0.3, 0.3, 0.2, 0.2)),
    20: Fleet((3, 1, 2, 4, 2) * 4, (0.05, 0.06, 0.04, 0.05, 0.05) * 4),
}
EQUAL = Fleet((3, 3, 3), (1.0, 1.0, 1.0))
