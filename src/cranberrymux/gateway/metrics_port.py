"""Handler of the port on which a gateway serves its metrics."""

import json

from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.gateway.explanation import explainer as explainer_module
from cranberrymux.gateway.explanation import question as question_module
from cranberrymux.node.http import inbound_call

PATH = b"/metrics"
EXPLAIN_PATH = b"/explain"
_JSON_TYPE = (b"content-type", b"application/json")


class MetricsPort:
    """Serves metrics at `/metrics` and explanations at `/explain`."""

    def __init__(
        self,
        metrics: metrics_module.GatewayMetrics,
        explainer: explainer_module.Explainer,
    ) -> None:
        """Serves what is known at the time of each call.

        Args:
            metrics: Metrics, in the Prometheus text format.
            explainer: Explains where a request would go, in JSON.
        """
        self._metrics = metrics
        self._explainer = explainer

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers a call, or 404 for another path."""
        if call.head.target == PATH:
            content_type = (b"content-type", metrics_module.CONTENT_TYPE)
            call.answer(200, [content_type], self._metrics.encode())
            return
        path, _, query = call.head.target.partition(b"?")
        if path == EXPLAIN_PATH and call.head.method == b"GET":
            self._explain(call, query)
            return
        call.answer(404, [], b"")

    def _explain(self, call: inbound_call.InboundCall, query: bytes) -> None:
        result = question_module.parse(query)
        explained = (
            result
            if isinstance(result, question_module.QuestionError)
            else self._explainer.explain(result)
        )
        status = 200
        if isinstance(explained, question_module.QuestionError):
            status = explained.status
            explained = {"error": explained.error, "detail": explained.detail}
        body = json.dumps(explained, allow_nan=False).encode()
        call.answer(status, [_JSON_TYPE], body)
