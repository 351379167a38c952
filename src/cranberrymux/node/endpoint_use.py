"""One attempt's use of an endpoint, as the router is told of it."""

from cranberrymux.decisions.routing import outcome
from cranberrymux.models import endpoint_record
from cranberrymux.node import answer_facts
from cranberrymux.node import environment


class EndpointUse:
    """Counts at the router from its making until `finish`."""

    def __init__(
        self,
        node: environment.Environment,
        endpoint: endpoint_record.EndpointRecord,
    ) -> None:
        """Tells the router that a call is sent now."""
        self._node = node
        self._endpoint = endpoint
        self._sent_s = node.clock.now_s()
        self._is_finished = False
        node.router.started(self._sent_s, endpoint.endpoint_id)

    @property
    def endpoint(self) -> endpoint_record.EndpointRecord:
        """The endpoint."""
        return self._endpoint

    @property
    def sent_s(self) -> float:
        """Monotonic seconds at which the call was sent."""
        return self._sent_s

    def finish(
        self,
        ended: outcome.Outcome,
        facts: answer_facts.AnswerFacts | None = None,
    ) -> None:
        """Tells the router how the attempt ended; only the first time counts.

        Args:
            ended: How it ended.
            facts: What the answer said; None without one.
        """
        if self._is_finished:
            return
        self._is_finished = True
        now_s = self._node.clock.now_s()
        self._node.router.finished(
            now_s,
            self._endpoint.endpoint_id,
            ended,
            now_s - self._sent_s,
            facts.level if facts else None,
            load=facts.load if facts else None,
            incarnation=self._endpoint.incarnation,
        )
