"""Shares of a node's requests for one service that go to other zones."""

from collections.abc import Mapping

from cranberrymux.decisions.zones import zone_condition
from cranberrymux.decisions.zones import zone_settings

# A node sends at most this much of a zone's part of all slots to it in
# addition at each update. So the requests that a zone gets rise by at most
# this part of its capacity, if all nodes of all zones decide alike.
MAXIMUM_STEP = 0.1
# Part of the capacity of a zone that single requests may take up beyond the
# shares, if the endpoints chosen for them in the own zone are full.
MAXIMUM_SPILL = 0.3
# Gain, as a part of the expected time in the own zone, of a step of that size.
FULL_STEP_GAIN = 0.25
# Gains below this part of the expected time are within its uncertainty.
MINIMUM_GAIN = 0.05
# Part of the toll that must be lost again before requests return.
RETURN_LOSS = 0.75
# Part of the share that is taken from a zone slower than the own at an update.
MAXIMUM_LOSS = 0.3
SMALLEST_SHARE = 0.002


class ZoneShares:
    """Share of each other zone, moved in bounded steps.

    Requests leave for each zone where they are expected to end earlier by
    more than the toll: latency, price and uncertainty. The share of a zone
    rises while that is so, stays while the own zone is slower by more than a
    quarter of the toll, and falls otherwise.
    """

    def __init__(
        self, own_zone: str, settings: zone_settings.ZoneSettings
    ) -> None:
        """Starts with all requests in the own zone."""
        self._own_zone = own_zone
        self._settings = settings
        self._shares: dict[str, float] = {}
        self._gains_s: dict[str, float] = {}
        self._faster: set[str] = set()
        # Of each faster zone: the chance of a request to be offered to it, and
        # the expected time in the own zone from which it goes there.
        self._spills: dict[str, tuple[float, float]] = {}

    @property
    def shares(self) -> Mapping[str, float]:
        """Share of each other zone that has one, 0 to 1."""
        return self._shares

    @property
    def gains_s(self) -> Mapping[str, float]:
        """Gain of each other zone after the toll, in seconds."""
        return self._gains_s

    @property
    def total(self) -> float:
        """Share that leaves the own zone, 0 to 1."""
        return sum(self._shares.values())

    def pays(self, zone: str) -> bool:
        """True if a request gains by going to another zone."""
        return self._gains_s.get(zone, 0.0) > 0.0

    @property
    def has_faster(self) -> bool:
        """True if requests are expected to end earlier in some other zone."""
        return bool(self._faster)

    def draw_spill(self, point: float, expected_s: float) -> str | None:
        """Returns the zone of a request beyond the shares, or None.

        Args:
            point: Random number, 0 to 1.
            expected_s: Expected seconds of the request in the own zone.
        """
        for zone, (chance, limit_s) in self._spills.items():
            point -= chance
            if point < 0.0:
                return zone if expected_s > limit_s else None
        return None

    def is_faster(self, zone: str) -> bool:
        """True if requests are expected to end earlier in another zone."""
        return zone in self._faster

    def update(
        self, conditions: Mapping[str, zone_condition.ZoneCondition]
    ) -> None:
        """Moves the shares by one step.

        Args:
            conditions: Zones that have endpoints which take requests.
        """
        own = conditions.get(self._own_zone)
        if own is None:
            self._spread(conditions)
            return
        slots = max(sum(each.slots for each in conditions.values()), 1)
        self._gains_s = {}
        self._faster = set()
        self._spills = {}
        lost = 0.0
        for zone in self._shares.keys() - conditions.keys():
            lost += self._shares.pop(zone)
        left = self.total
        for zone, condition in conditions.items():
            if zone != self._own_zone:
                self._move(zone, own, condition, slots, left)
        self._replace(lost, conditions)
        self._limit()

    def _move(
        self,
        zone: str,
        own: zone_condition.ZoneCondition,
        other: zone_condition.ZoneCondition,
        slots: int,
        left: float,
    ) -> None:
        """Raises or lowers the share of one zone."""
        toll_s = (
            other.latency_s
            + self._settings.price_s
            + MINIMUM_GAIN * own.expected_s
        )
        gain_s = own.expected_s - other.expected_s - toll_s
        self._gains_s[zone] = gain_s
        if gain_s + toll_s > other.latency_s:
            self._faster.add(zone)
            chance = MAXIMUM_SPILL * other.slots / slots
            self._spills[zone] = (chance, other.expected_s + toll_s)
        share = self._shares.get(zone, 0.0)
        if gain_s > 0.0:
            ratio = min(gain_s / (FULL_STEP_GAIN * own.expected_s), 1.0)
            share += ratio * MAXIMUM_STEP * other.slots / slots
        elif share:
            share -= self._find_loss(gain_s, toll_s, share, left)
        if share >= SMALLEST_SHARE or gain_s > 0.0:
            self._shares[zone] = share
        else:
            self._shares.pop(zone, None)

    def _find_loss(
        self, gain_s: float, toll_s: float, share: float, left: float
    ) -> float:
        """Returns by how much the share of a zone falls that has no gain."""
        band_s = RETURN_LOSS * toll_s
        excess_s = -gain_s - band_s
        if excess_s <= 0.0:
            return 0.0
        ratio = min(excess_s / (toll_s - band_s), 1.0)
        loss = ratio * MAXIMUM_STEP * share / left
        if -gain_s > toll_s:
            loss = max(loss, MAXIMUM_LOSS * share)
        return min(loss, share)

    def _replace(
        self,
        lost: float,
        conditions: Mapping[str, zone_condition.ZoneCondition],
    ) -> None:
        """Gives the share of lost zones to those where it gains something."""
        targets = {
            zone: conditions[zone].slots
            for zone in self._gains_s
            if self.pays(zone)
        }
        slots = sum(targets.values())
        if not lost or not slots:
            return
        for zone, own_slots in targets.items():
            part = lost * own_slots / slots
            self._shares[zone] = self._shares.get(zone, 0.0) + part

    def _limit(self) -> None:
        total = self.total
        if total > 1.0:
            for zone in self._shares:
                self._shares[zone] /= total

    def _spread(
        self, conditions: Mapping[str, zone_condition.ZoneCondition]
    ) -> None:
        """Divides all requests by capacity: the own zone takes none."""
        weights = {
            zone: each.slots / max(each.expected_s + each.latency_s, 1e-6)
            for zone, each in conditions.items()
        }
        total = sum(weights.values())
        self._shares = {
            zone: weight / total for zone, weight in weights.items() if weight
        }
        self._gains_s = dict.fromkeys(self._shares, 0.0)
        self._faster = set(self._shares)
        self._spills = {}
