"""Handler of the port on which a gateway serves its metrics."""

from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.node.http import inbound_call

PATH = b"/metrics"


class MetricsPort:
    """Serves the metrics in the Prometheus text format at `/metrics`."""

    def __init__(self, metrics: metrics_module.GatewayMetrics) -> None:
        """Serves the given metrics.

        Args:
            metrics: Metrics, encoded anew for each call.
        """
        self._metrics = metrics

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers with the metrics, or with 404 for another path."""
        if call.head.target != PATH:
            call.answer(404, [], b"")
            return
        content_type = (b"content-type", metrics_module.CONTENT_TYPE)
        call.answer(200, [content_type], self._metrics.encode())
