"""Counter of refused requests by account, with a bounded number of labels."""

import prometheus_client

MAXIMUM_LABELS = 64
OTHER = "other"


class HeldBackCounter:
    """Counts under the names of the first accounts, then under `OTHER`."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Registers the counter without accounts.

        Args:
            registry: The registry to use.
        """
        self._counter = prometheus_client.Counter(
            "cranberrymux_account_refusals",
            "Requests refused for the fair share of their account.",
            ("account",),
            registry=registry,
        )
        self._names: set[str] = set()

    def note(self, account: str) -> None:
        """Counts a request of an account that was refused."""
        if account not in self._names:
            if len(self._names) >= MAXIMUM_LABELS:
                account = OTHER
            else:
                self._names.add(account)
        self._counter.labels(account).inc()
