"""Prometheus metrics of a gateway."""

from typing import Any

import prometheus_client
from prometheus_client import exposition
from prometheus_client import metrics_core

from cranberrymux.gateway import event_counter
from cranberrymux.gateway import event_histogram
from cranberrymux.gateway import held_back_counter
from cranberrymux.gateway import label_children

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST.encode()


class GatewayMetrics:
    """Counters, histograms and gauges of one gateway.

    Attributes:
        requests: Requests of clients at this node, by route and outcome.
        key_refusals: Requests refused for their key, by reason.
        quota_requests: Requests of limited accounts, by account and what
            became of their tokens.
        quota_exchanges: Messages to the owner of the quotas, by outcome.
        quota_tokens: Tokens that the node holds, of all accounts.
        quota_accounts: Accounts of which the node keeps state.
        request_s: Seconds from the arrival of a request to the end of its
            answer, by route.
        hops: Requests passed on by nodes to this one, by outcome.
        hold_s: Seconds for which a request held a slot of the backend server,
            by route.
        unexpected_answers: Bytes from backend servers and other nodes that do
            not answer a pending request, by kind.
        repeats: Requests sent again to another endpoint, by service.
        share: Fraction of the offered work, 0 to 1, that the backend server
            has capacity for.
        running: Requests that hold a slot of the backend server.
        waiting: Requests that wait for a slot.
        held_back: Refusals at the root, by client account.
        accounts_held_back: Client accounts of whose requests the backend server
            can take only a part.
        backend_sends: Requests sent to the backend server, whatever became of
            them.
        rate_limit: Requests a second that the backend server accepts; 0
            without a limit.
        zone_share: Share of the requests that goes to a zone, 0 to 1, by
            service and zone.
        zone_sends: Requests sent to endpoints, by service and zone.
        version: Version of the configuration in force.
        settings_since_s: Unix time from which the settings file is known as it
            is, by its digest.
    """

    def __init__(self) -> None:
        """Registers all metrics at zero in a new registry."""
        registry = self._registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests that began here.", "route", "outcome"
        )
        self.key_refusals = self._counter(
            "key_refusals",
            "Requests refused for the key of a client account.",
            "reason",
        )
        self.quota_requests = self._counter(
            "quota_requests",
            "Requests of limited accounts.",
            "account",
            "outcome",
        )
        self.quota_exchanges = self._counter(
            "quota_exchanges", "Messages to the owner of the quotas.", "outcome"
        )
        self.quota_tokens = self._gauge("quota_tokens", "Tokens held.")
        self.quota_accounts = self._gauge("quota_accounts", "Accounts known.")
        self.request_s = self._histogram(
            "request_seconds", "From a request's begin to its answer.", "route"
        )
        self.hops = self._counter(
            "hops", "Requests from other nodes.", "outcome"
        )
        self.hold_s = self._histogram(
            "backend_seconds",
            "Time for which the backend server ran a request.",
            "route",
        )
        self.unexpected_answers = self._counter(
            "unexpected_answers",
            "Answers, or other bytes, that belong to no pending request.",
            "reason",
        )
        self.repeats = self._counter(
            "repeats", "Requests sent to one more endpoint.", "service"
        )
        self.zone_share = prometheus_client.Gauge(
            "cranberrymux_zone_share",
            "Share of the requests for a service that goes to a zone.",
            ("service", "zone"),
            registry=registry,
        )
        self.zone_sends = self._counter(
            "zone_sends",
            "Requests sent to endpoints in a zone.",
            "service",
            "zone",
        )
        self.backend_sends = self._counter(
            "backend_sends", "Requests sent to the backend server."
        )[()]
        self.rate_limit = self._gauge(
            "backend_rate_limit", "Requests a second that it accepts; 0: any."
        )
        self.share = self._gauge("share", "Share of the work that fits.")
        self.running = self._gauge("running", "Requests that hold a slot.")
        self.held_back = held_back_counter.HeldBackCounter(registry)
        self.accounts_held_back = self._gauge(
            "accounts_held_back", "Accounts that get less than they request."
        )
        self.waiting = self._gauge("waiting", "Requests that wait for one.")
        self.version = self._gauge("configuration_version", "In force.")
        self.confirmed_age_s = self._gauge(
            "configuration_confirmed_age_seconds",
            "Since a control instance confirmed it as the newest.",
        )
        self.settings_since_s = prometheus_client.Gauge(
            "cranberrymux_settings_since_seconds",
            "Unix time at which this settings file was first read.",
            ("digest",),
            registry=registry,
        )

    def show_settings(self, digest: str, since_unix_ms: int) -> None:
        """Shows one version of the settings file in place of the last one."""
        self.settings_since_s.clear()
        self.settings_since_s.labels(digest).set(since_unix_ms / 1000)

    def encode(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> label_children.LabelChildren[event_counter.EventCounter]:
        children = label_children.LabelChildren(event_counter.EventCounter)
        self._show("counter", name, help_text, labels, children)
        return children

    def _histogram(
        self, name: str, help_text: str, *labels: str
    ) -> label_children.LabelChildren[event_histogram.EventHistogram]:
        children = label_children.LabelChildren(event_histogram.EventHistogram)
        self._show("histogram", name, help_text, labels, children)
        return children

    def _show(
        self,
        kind: str,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        children: label_children.LabelChildren[Any],
    ) -> None:
        metric = metrics_core.Metric(f"cranberrymux_{name}", help_text, kind)
        self._registry.register(
            label_children.ChildrenCollector(metric, labels, children)
        )

    def _gauge(self, name: str, help_text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"cranberrymux_{name}", help_text, registry=self._registry
        )
