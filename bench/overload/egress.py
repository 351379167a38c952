"""The calling side of a node, and of the clients' entry."""

import itertools

from bench.overload import call as call_module
from bench.overload import chooser
from bench.overload import context as context_module
from bench.overload import deployment
from bench.overload import errand as errand_module
from bench.overload import node as node_module
from bench.overload import power_of_two
from bench.overload import routed
from cranberrymux.models import answer_kind
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

LEVEL_LIFE_S = 0.5
RETRY_SHARE = 0.1  # Retries for each success on this edge.
RETRY_BURST = 10.0

_SHED_EARLY = refusal.Refusal(
    answer_kind.AnswerKind.NOT_RUN,
    refusal_reason.RefusalReason.OVERLOADED,
    "the deeper service sheds this priority",
    500,
)
_ids = itertools.count()


class Egress:
    """Sends calls, with retries."""

    def __init__(
        self,
        context: context_module.Context,
        nodes: "list[node_module.Node]",
        delay_s: float,
        zone: str,
    ) -> None:
        """Knows every endpoint of one service."""
        self._clock = context.clock
        self._policy = context.policy
        self._recorder = context.recorder
        self._chooser = _make_chooser(context, nodes, zone)
        self._nodes = nodes
        self._levels: dict[str, tuple[int, float]] = {}
        self._delay_s = delay_s
        self._tokens = RETRY_BURST

    @property
    def level(self) -> int:
        """Mean of the levels heard lately; what is above is shed early."""
        now_s = self._clock.now_s
        fresh = [
            level for level, until_s in self._levels.values() if until_s > now_s
        ]
        if len(fresh) < sum(not one.is_known_down for one in self._nodes):
            return 1 << 30
        return sum(fresh) // max(len(fresh), 1)

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Takes news from the directory."""
        self._chooser.announce(record)

    def send(self, errand: errand_module.Errand) -> None:
        """Makes a call, with retries."""
        self._try(errand, frozenset())

    def _try(self, errand: errand_module.Errand, tried: frozenset[str]) -> None:
        request = errand.request
        node = self._chooser.choose(request, tried)
        if node is None:
            answer = call_module.Answer(
                request.request_id, (), _SHED_EARLY, self.level, 1.0
            )
            errand.answered(answer)
            return
        self._chooser.started(node)
        self._recorder.calls += not tried
        self._recorder.attempts += 1
        sent_s = self._clock.now_s
        now_tried = tried | {node.endpoint_id}

        def take(answer: call_module.Answer) -> None:
            self._clock.call_later(self._delay_s, end, answer)

        def end(answer: call_module.Answer) -> None:
            now_s = self._clock.now_s
            self._chooser.ended(node, answer, now_s - sent_s)
            self._levels[node.endpoint_id] = (
                answer.level,
                now_s + LEVEL_LIFE_S,
            )
            if answer.refusal is None:
                self._tokens = min(self._tokens + RETRY_SHARE, RETRY_BURST)
            if call.is_over:
                return
            call.is_over = True
            if self._may_retry(request, answer, now_tried):
                self._try(errand, now_tried)
                return
            errand.answered(answer)

        call = call_module.Call(
            str(next(_ids)),
            request,
            errand.depth,
            errand.deadline_s,
            take,
            node=node,
        )
        errand.adopt(call)
        self._clock.call_later(self._delay_s, node.receive, call)

    def _may_retry(
        self,
        request: call_module.Request,
        answer: call_module.Answer,
        tried: frozenset[str],
    ) -> bool:
        if answer.served:
            return False
        if not self._policy.is_controlled:
            return len(tried) <= self._policy.hop_retries
        refused = answer.refusal
        is_not_run = (
            refused is not None
            and refused.kind is answer_kind.AnswerKind.NOT_RUN
            and refused.retry_after_ms > 0
        )
        is_protected = request.kind.class_rank < deployment.PROTECTED_RANKS
        needed = 1.0 if is_protected else RETRY_BURST / 2
        has_budget = request.retries_left > 0 and self._tokens >= needed
        if not (is_not_run and has_budget):
            return False
        self._tokens -= 1.0
        request.retries_left -= 1
        return True


def _make_chooser(
    context: context_module.Context,
    nodes: "list[node_module.Node]",
    zone: str,
) -> chooser.Chooser:
    policy = context.policy
    if policy.is_controlled:
        return routed.Routed(context.clock, context.generator, nodes, zone)
    by_load = not policy.limit_is_slots
    return power_of_two.PowerOfTwo(context.generator, nodes, by_load)
