"""Calling side of nodes and clients."""

import itertools

from bench.overload import call as call_module
from bench.overload import context as context_module
from bench.overload import credit_sender
from bench.overload import node as node_module
from bench.overload import node_chooser
from bench.overload import outbound_call as outbound_call_module
from bench.overload import power_of_two
from bench.overload import retrier
from bench.overload import router_chooser
from cranberrymux.models import answer_kind
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

LEVEL_TTL_S = 0.5

_NOT_SENT = refusal.Refusal(
    answer_kind.AnswerKind.NOT_RUN,
    refusal_reason.RefusalReason.OVERLOADED,
    "no endpoint of the service accepts the call",
    500,
)
_call_ids = itertools.count()


class Egress:
    """Sends the calls of one caller to one service, with retries."""

    def __init__(
        self,
        context: context_module.Context,
        nodes: "list[node_module.Node]",
        delay_s: float,
        zone: str,
    ) -> None:
        """Creates the calling side for the endpoints of one service.

        Args:
            context: Objects shared by the run.
            nodes: All endpoints of the service.
            delay_s: One-way network delay in seconds.
            zone: Availability zone of the caller; empty for clients.
        """
        self._clock = context.clock
        self._recorder = context.recorder
        self._chooser = _make_chooser(context, nodes, zone)
        self._nodes = nodes
        self._credits: credit_sender.CreditSender | None = None
        if context.policy.has_credits:
            self._credits = credit_sender.CreditSender(context.clock, nodes)
        self._levels: dict[str, tuple[int, float]] = {}
        self._delay_s = delay_s
        self._retrier: retrier.Retrier = (
            retrier.BudgetRetries()
            if context.policy.is_cranberrymux
            else retrier.HopRetries(context.policy.hop_retries)
        )

    @property
    def level(self) -> int:
        """Mean shed level in the recent answers of the endpoints.

        It sheds nothing unless as many endpoints have answered within
        `LEVEL_TTL_S` as are not known to be down.
        """
        now_s = self._clock.now_s
        fresh = [
            level for level, until_s in self._levels.values() if until_s > now_s
        ]
        if len(fresh) < sum(not node.is_known_down for node in self._nodes):
            return 1 << 30
        return sum(fresh) // max(len(fresh), 1)

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Applies a new record of an endpoint."""
        self._chooser.announce(record)

    def send(self, outbound_call: outbound_call_module.OutboundCall) -> None:
        """Makes a call; its attempts may go to several endpoints."""
        if self._credits is None:
            self._send_attempt(outbound_call, frozenset(), ())
            return

        def send(node: "node_module.Node | None") -> None:
            self._send_to(node, outbound_call, frozenset(), ())

        self._credits.submit(outbound_call.request.priority, send)

    def _send_attempt(
        self,
        outbound_call: outbound_call_module.OutboundCall,
        tried: frozenset[str],
        answers: tuple[call_module.Answer, ...],
    ) -> None:
        node = self._chooser.choose(outbound_call.request, tried)
        self._send_to(node, outbound_call, tried, answers)

    def _send_to(
        self,
        node: "node_module.Node | None",
        outbound_call: outbound_call_module.OutboundCall,
        tried: frozenset[str],
        answers: tuple[call_module.Answer, ...],
    ) -> None:
        request = outbound_call.request
        if node is None and answers:
            outbound_call.on_answer(answers[-1])
            return
        if node is None:
            answer = call_module.Answer(
                request.request_id, (), _NOT_SENT, self.level, 1.0
            )
            outbound_call.on_answer(answer)
            return
        self._chooser.call_started(node)
        self._recorder.calls += not tried
        self._recorder.attempts += 1
        sent_s = self._clock.now_s
        now_tried = tried | {node.endpoint_id}

        def return_answer(answer: call_module.Answer) -> None:
            self._clock.call_later(self._delay_s, handle_answer, answer)

        def handle_answer(answer: call_module.Answer) -> None:
            now_s = self._clock.now_s
            self._chooser.call_finished(node, answer, now_s - sent_s)
            self._levels[node.endpoint_id] = (
                answer.level,
                now_s + LEVEL_TTL_S,
            )
            if self._credits is not None:
                self._credits.ended(node)
            if call.is_over:
                return
            call.is_over = True
            now_answers = (*answers, answer)
            if self._retrier.should_retry(now_s, outbound_call, now_answers):
                self._send_attempt(outbound_call, now_tried, now_answers)
                return
            outbound_call.on_answer(answer)

        call = call_module.Call(
            str(next(_call_ids)),
            request,
            outbound_call.depth,
            outbound_call.deadline_s,
            return_answer,
            node=node,
            lost_attempts=sum(map(_is_lost, answers)),
        )
        outbound_call.on_attempt(call)
        self._clock.call_later(self._delay_s, node.receive, call)


def _is_lost(answer: call_module.Answer) -> bool:
    lost = refusal_reason.RefusalReason.CONNECTION_LOST
    return answer.refusal is not None and answer.refusal.reason is lost


def _make_chooser(
    context: context_module.Context,
    nodes: "list[node_module.Node]",
    zone: str,
) -> node_chooser.NodeChooser:
    policy = context.policy
    if policy.is_cranberrymux:
        return router_chooser.RouterChooser(
            context.clock, context.generator, nodes, zone
        )
    uses_load = not policy.limit_is_slots
    return power_of_two.PowerOfTwo(context.generator, nodes, uses_load)
