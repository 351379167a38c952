"""Reports one attempt at an endpoint to the router."""

from cranberrymux.decisions.routing import outcome
from cranberrymux.models import endpoint_record
from cranberrymux.node import answer_metadata
from cranberrymux.node import environment


class EndpointUse:
    """An attempt that the router counts as in flight until `finish`."""

    def __init__(
        self,
        node: environment.Environment,
        endpoint: endpoint_record.EndpointRecord,
    ) -> None:
        """Reports to the router that a call is sent now.

        Args:
            node: Tasks and tables of the node.
            endpoint: Endpoint that the call is sent to.
        """
        self._node = node
        self._endpoint = endpoint
        self._sent_s = node.clock.now_s()
        self._is_finished = False
        node.router.call_started(self._sent_s, endpoint.endpoint_id)

    @property
    def endpoint(self) -> endpoint_record.EndpointRecord:
        """Endpoint that the call was sent to."""
        return self._endpoint

    @property
    def sent_s(self) -> float:
        """Monotonic seconds at which the call was sent."""
        return self._sent_s

    def finish(
        self,
        ended: outcome.Outcome,
        metadata: answer_metadata.AnswerMetadata | None = None,
    ) -> None:
        """Reports the end of the attempt to the router, the first time only.

        Args:
            ended: How it ended.
            metadata: Contents of the headers of the answer; None if there was
                no complete answer.
        """
        if self._is_finished:
            return
        self._is_finished = True
        now_s = self._node.clock.now_s()
        self._node.router.call_finished(
            now_s,
            self._endpoint.endpoint_id,
            ended,
            now_s - self._sent_s,
            metadata.level if metadata else None,
            load=metadata.load if metadata else None,
            incarnation=self._endpoint.incarnation,
        )
