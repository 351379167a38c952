"""The buckets of every service that a node calls."""

import collections

from cranberrymux.decisions.retries import edge_bucket
from cranberrymux.decisions.retries import retry_settings


class EdgeBuckets:
    """Keeps a bucket per service called; the least used is forgotten."""

    def __init__(self, settings: retry_settings.RetrySettings) -> None:
        """Starts empty."""
        self._settings = settings
        self._buckets: collections.OrderedDict[str, edge_bucket.EdgeBucket] = (
            collections.OrderedDict()
        )

    def succeed(self, now_s: float, service: str) -> None:
        """Counts an answered call to a service."""
        self._find(now_s, service).succeed(now_s)

    def has_retry(self, now_s: float, service: str) -> bool:
        """True if a call to the service may be tried again."""
        return self._find(now_s, service).has_retry(now_s)

    def take(self, now_s: float, service: str) -> bool:
        """Takes a retry; False if there is none."""
        return self._find(now_s, service).take(now_s)

    def _find(self, now_s: float, service: str) -> edge_bucket.EdgeBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            if len(self._buckets) >= self._settings.edges_maximum:
                self._buckets.popitem(last=False)
            bucket = edge_bucket.EdgeBucket(now_s, self._settings)
            self._buckets[service] = bucket
        else:
            self._buckets.move_to_end(service)
        return bucket
