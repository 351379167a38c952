"""The calling side of a node, and of the clients' entry."""

import itertools

from bench.overload import call as call_module
from bench.overload import context as context_module
from bench.overload import deployment
from bench.overload import errand as errand_module
from bench.overload import node as node_module
from cranberrymux.models import answer_kind
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


class _Target:
    """What the caller knows of one endpoint."""

    __slots__ = ("level", "level_until_s", "node", "outstanding")

    def __init__(self, node: "node_module.Node") -> None:
        self.node = node
        self.outstanding = 0
        self.level = 1 << 30
        self.level_until_s = 0.0


class Egress:
    """Chooses endpoints by power of two choices and retries."""

    def __init__(
        self,
        context: context_module.Context,
        nodes: "list[node_module.Node]",
        delay_s: float,
    ) -> None:
        """Knows every endpoint of one service."""
        self._clock = context.clock
        self._generator = context.generator
        self._policy = context.policy
        self._recorder = context.recorder
        self._targets = [_Target(node) for node in nodes]
        self._delay_s = delay_s
        self._tokens = RETRY_BURST

    @property
    def level(self) -> int:
        """Mean of the levels heard lately; what is above is shed early."""
        now_s = self._clock.now_s
        fresh = [
            one.level for one in self._targets if one.level_until_s > now_s
        ]
        if len(fresh) < len(self._targets):
            return 1 << 30
        return sum(fresh) // len(fresh)

    def send(self, errand: errand_module.Errand) -> None:
        """Makes a call, with retries."""
        self._try(errand, ())

    def _try(
        self, errand: errand_module.Errand, tried: tuple[_Target, ...]
    ) -> None:
        request = errand.request
        target = self._choose(request.priority, tried)
        if target is None:
            answer = call_module.Answer(
                request.request_id, (), _SHED_EARLY, self.level
            )
            errand.answered(answer)
            return
        target.outstanding += 1
        self._recorder.calls += not tried
        self._recorder.attempts += 1

        def take(answer: call_module.Answer) -> None:
            self._clock.call_later(self._delay_s, end, answer)

        def end(answer: call_module.Answer) -> None:
            target.outstanding -= 1
            target.level = answer.level
            target.level_until_s = self._clock.now_s + LEVEL_LIFE_S
            if answer.refusal is None:
                self._tokens = min(self._tokens + RETRY_SHARE, RETRY_BURST)
            if call.is_over:
                return
            call.is_over = True
            now_tried = (*tried, target)
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
            node=target.node,
        )
        errand.adopt(call)
        self._clock.call_later(self._delay_s, target.node.receive, call)

    def _choose(
        self, priority: int, tried: tuple[_Target, ...]
    ) -> _Target | None:
        now_s = self._clock.now_s
        usable = [
            one
            for one in self._targets
            if one not in tried
            and not one.node.is_known_down
            and (one.level >= priority or one.level_until_s <= now_s)
        ]
        if not usable:
            return None
        first = self._generator.choice(usable)
        second = self._generator.choice(usable)
        if not (self._policy.is_controlled or self._policy.limit_is_slots):
            return first if first.node.hint <= second.node.hint else second
        return first if first.outstanding <= second.outstanding else second

    def _may_retry(
        self,
        request: call_module.Request,
        answer: call_module.Answer,
        tried: tuple[_Target, ...],
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
