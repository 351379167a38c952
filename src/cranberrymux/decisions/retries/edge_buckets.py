"""Retry token buckets of all the services that a node calls."""

import collections

from cranberrymux.decisions.retries import edge_bucket
from cranberrymux.decisions.retries import retry_settings


class EdgeBuckets:
    """Keeps one bucket per service edge, evicting the least recently used.

    At most `maximum_edges` buckets are kept.
    """

    def __init__(self, settings: retry_settings.RetrySettings) -> None:
        """Creates a collection without buckets."""
        self._settings = settings
        self._buckets: collections.OrderedDict[str, edge_bucket.EdgeBucket] = (
            collections.OrderedDict()
        )

    def record_success(self, now_s: float, service: str) -> None:
        """Adds the tokens that one answered call to the service earns."""
        self._find_or_create(now_s, service).record_success(now_s)

    def has_retry(self, now_s: float, service: str) -> bool:
        """Returns whether a call to the service may be retried now."""
        return self._find_or_create(now_s, service).has_retry(now_s)

    def take(self, now_s: float, service: str) -> bool:
        """Takes one retry of the service; returns False if none is left."""
        return self._find_or_create(now_s, service).take(now_s)

    def _find_or_create(
        self, now_s: float, service: str
    ) -> edge_bucket.EdgeBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            if len(self._buckets) >= self._settings.maximum_edges:
                self._buckets.popitem(last=False)
            bucket = edge_bucket.EdgeBucket(now_s, self._settings)
            self._buckets[service] = bucket
        else:
            self._buckets.move_to_end(service)
        return bucket
