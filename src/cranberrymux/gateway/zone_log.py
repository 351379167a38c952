"""Metrics and log lines on the shares of zones."""

import collections

import structlog

from cranberrymux.decisions.zones import share_change
from cranberrymux.gateway import metrics as metrics_module


class ZoneLog:
    """Shows which share of the requests goes to which zone, and why."""

    def __init__(
        self, metrics: metrics_module.GatewayMetrics, own_zone: str
    ) -> None:
        """Starts without shares.

        Args:
            metrics: Metrics of the gateway.
            own_zone: Availability zone of this node.
        """
        self._metrics = metrics
        self._own_zone = own_zone
        self._zones: dict[str, set[str]] = {}
        # Sends that the metric does not count yet.
        self._sends: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._events = structlog.get_logger()

    def note_change(self, change: share_change.ShareChange) -> None:
        """Logs a noticeable change of the shares of one service."""
        self.show_shares(change.service, change.shares)
        self._events.info(
            "zone-shares",
            service=change.service,
            own_zone=self._own_zone,
            shares=_round(change.shares, 1.0, 3),
            expected_ms=_round(change.expected_s, 1000.0, 1),
            gains_ms=_round(change.gains_s, 1000.0, 1),
        )

    def count_send(self, service: str, zone: str) -> None:
        """Counts a request sent to an endpoint in a zone."""
        self._sends[service, zone] += 1

    def show_sends(self) -> None:
        """Adds the requests counted since the last call to the metric."""
        for (service, zone), count in self._sends.items():
            self._metrics.zone_sends.labels(service, zone).inc(count)
        self._sends.clear()

    def show_shares(self, service: str, shares: dict[str, float]) -> None:
        """Sets the gauges of a service; zones without a share get 0."""
        shown = self._zones.setdefault(service, {self._own_zone})
        shown.update(shares)
        for zone in shown:
            share = shares.get(zone, 0.0)
            if zone == self._own_zone:
                share = max(1.0 - sum(shares.values()), 0.0)
            self._metrics.zone_share.labels(service, zone).set(share)


def _round(
    values: dict[str, float], factor: float, digits: int
) -> dict[str, float]:
    return {
        zone: round(value * factor, digits) for zone, value in values.items()
    }
