"""Simulated clients."""

from bench.overload import call as call_module
from bench.overload import context as context_module
from bench.overload import deployment as deployment_module
from bench.overload import egress as egress_module
from bench.overload import outbound_call
from bench.overload import recorder as recorder_module
from bench.overload import scenario as scenario_module
from cranberrymux.decisions.retries import retry_settings

RESEND_AFTER_S = 0.05
MAXIMUM_RESENDS = 4
POISON_RESENDS = 60


class _PendingRequest:
    """A request that is not ended, and the state of its sends."""

    __slots__ = (
        "arrived_s",
        "last_call",
        "is_ended",
        "request",
        "send_count",
        "last_sent_s",
    )

    def __init__(self, request: call_module.Request, arrived_s: float) -> None:
        self.request = request
        self.arrived_s = arrived_s
        self.send_count = 0
        self.last_sent_s = arrived_s
        self.last_call: call_module.Call | None = None
        self.is_ended = False


class Clients:
    """Sends requests at the scenario's rate and resends those that fail.

    Arrivals are a Poisson process. Failed requests are resent only in scenarios
    with `resends`, and not after a final refusal. Poison requests are
    resent in any case. Clients cancel a call that timed out only under
    cranberrymux.
    """

    def __init__(
        self,
        context: context_module.Context,
        deployment: deployment_module.Deployment,
        scenario: scenario_module.Scenario,
        entries: dict[str, egress_module.Egress],
    ) -> None:
        """Schedules the first arrival and the poison request, if any.

        Args:
            context: Objects shared by the run.
            deployment: Deployment whose kinds of requests are sent.
            scenario: Scenario with rates, timeout and resends.
            entries: Calling side for each service, by name of the service.
        """
        self._clock = context.clock
        self._generator = context.generator
        self._policy = context.policy
        self._recorder = context.recorder
        self._deployment = deployment
        self._scenario = scenario
        self._entries = entries
        self._count = 0
        self._pending: set[_PendingRequest] = set()
        self._weights = [kind.share for kind in deployment.kinds]
        self._clock.call_later(0.0, self._arrive)
        if scenario.has_poison:
            self._clock.call_at(scenario.begins_s, self._send_poison)

    def close(self) -> None:
        """Records requests open for at least the timeout as not answered."""
        latest_s = self._clock.now_s - self._scenario.timeout_s
        for pending in list(self._pending):
            if pending.arrived_s <= latest_s:
                self._end(pending, is_answered=False)

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        rate = self._scenario.get_rate(now_s) * self._deployment.capacity_per_s
        self._clock.call_later(self._generator.expovariate(rate), self._arrive)
        kind = self._generator.choices(self._deployment.kinds, self._weights)[0]
        self._begin(kind, is_poison=False)

    def _send_poison(self) -> None:
        self._begin(self._deployment.kinds[1], is_poison=True)

    def _begin(
        self, kind: deployment_module.RequestKind, is_poison: bool
    ) -> None:
        self._count += 1
        request = call_module.Request(
            f"r{self._count}", kind, self._generator.randrange(128), is_poison
        )
        request.retries_left = retry_settings.RetrySettings().root_budget
        pending = _PendingRequest(request, self._clock.now_s)
        self._pending.add(pending)
        self._send(pending)

    def _send(self, pending: _PendingRequest) -> None:
        pending.send_count += 1
        pending.last_sent_s = self._clock.now_s
        attempt = pending.send_count
        deadline_s = self._clock.now_s + self._scenario.timeout_s

        def on_answer(answer: call_module.Answer) -> None:
            if attempt == pending.send_count and not pending.is_ended:
                self._handle_answer(pending, answer)

        def on_attempt(call: call_module.Call) -> None:
            pending.last_call = call

        self._clock.call_at(deadline_s, self._time_out, pending, attempt)
        entry = self._entries[pending.request.kind.chain[0]]
        entry.send(
            outbound_call.OutboundCall(
                pending.request, 0, deadline_s, on_answer, on_attempt
            )
        )

    def _handle_answer(
        self, pending: _PendingRequest, answer: call_module.Answer
    ) -> None:
        request = pending.request
        is_wrong = answer.request_id != request.request_id
        is_cut = (
            bool(answer.served_by) and answer.served_by != request.kind.chain
        )
        if is_wrong or is_cut:
            self._recorder.wrong_answers += 1
        if answer.served_by:
            self._end(pending, is_answered=True)
            return
        refused = answer.refusal
        is_final = refused is not None and refused.retry_after_ms == 0
        self._fail(pending, is_final)

    def _time_out(self, pending: _PendingRequest, attempt: int) -> None:
        if pending.is_ended or attempt != pending.send_count:
            return
        call = pending.last_call
        if call is not None and self._policy.is_cranberrymux:
            call.is_over = True
            self._clock.call_later(
                deployment_module.CLIENT_DELAY_S, call.node.cancel, call
            )
        self._fail(pending, is_final=False)

    def _fail(self, pending: _PendingRequest, is_final: bool) -> None:
        maximum = MAXIMUM_RESENDS if self._scenario.resends else 0
        if pending.request.is_poison:
            maximum = POISON_RESENDS
            is_final = False
        if is_final or pending.send_count > maximum:
            self._end(pending, is_answered=False)
            return
        attempt = pending.send_count

        def resend() -> None:
            if not pending.is_ended and pending.send_count == attempt:
                self._send(pending)

        self._clock.call_later(RESEND_AFTER_S, resend)

    def _end(self, pending: _PendingRequest, is_answered: bool) -> None:
        pending.is_ended = True
        self._pending.discard(pending)
        self._recorder.ended.append(
            recorder_module.EndedRequest(
                pending.arrived_s,
                pending.last_sent_s,
                self._clock.now_s,
                pending.request.kind.class_rank,
                is_answered,
                pending.request.is_poison,
                pending.send_count,
            )
        )
