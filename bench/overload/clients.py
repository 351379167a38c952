"""Simulated clients."""

from bench.overload import call as call_module
from bench.overload import context as context_module
from bench.overload import deployment
from bench.overload import egress as egress_module
from bench.overload import outbound_call
from bench.overload import recorder as recorder_module
from bench.overload import scenario
from cranberrymux.decisions.retries import retry_settings

RESEND_AFTER_S = 0.05
MAXIMUM_RESENDS = 4
POISON_RESENDS = 60


class _Sending:
    """A request that is not ended, and the state of its sends."""

    __slots__ = (
        "arrived_s",
        "current",
        "is_ended",
        "request",
        "sent",
        "sent_s",
    )

    def __init__(self, request: call_module.Request, arrived_s: float) -> None:
        self.request = request
        self.arrived_s = arrived_s
        self.sent = 0
        self.sent_s = arrived_s
        self.current: call_module.Call | None = None
        self.is_ended = False


class Clients:
    """Sends requests at the scenario's rate and resends those that fail.

    Arrivals are a Poisson process. Failed requests are resent only in scenarios
    with `resends_hard`, and not after a final refusal. Poison requests are
    resent in any case. Clients cancel a call that timed out only under
    cranberrymux.
    """

    def __init__(
        self,
        context: context_module.Context,
        where: deployment.Deployment,
        plan: scenario.Scenario,
        entries: dict[str, egress_module.Egress],
    ) -> None:
        """Schedules the first arrival and the poison request, if any.

        Args:
            context: Objects shared by the run.
            where: Deployment whose kinds of requests are sent.
            plan: Scenario with rates, timeout and resends.
            entries: Calling side for each service, by name of the service.
        """
        self._clock = context.clock
        self._generator = context.generator
        self._policy = context.policy
        self._recorder = context.recorder
        self._where = where
        self._plan = plan
        self._entries = entries
        self._count = 0
        self._pending: set[_Sending] = set()
        self._weights = [kind.share for kind in where.kinds]
        self._clock.call_later(0.0, self._arrive)
        if plan.has_poison:
            self._clock.call_at(plan.begins_s, self._send_poison)

    def close(self) -> None:
        """Records requests open for at least the timeout as not answered."""
        latest_s = self._clock.now_s - self._plan.timeout_s
        for sending in list(self._pending):
            if sending.arrived_s <= latest_s:
                self._end(sending, is_done=False)

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        rate = self._plan.get_rate(now_s) * self._where.capacity_per_s
        self._clock.call_later(self._generator.expovariate(rate), self._arrive)
        kind = self._generator.choices(self._where.kinds, self._weights)[0]
        self._begin(kind, is_poison=False)

    def _send_poison(self) -> None:
        self._begin(self._where.kinds[1], is_poison=True)

    def _begin(self, kind: deployment.RequestKind, is_poison: bool) -> None:
        self._count += 1
        request = call_module.Request(
            f"r{self._count}", kind, self._generator.randrange(128), is_poison
        )
        request.retries_left = retry_settings.RetrySettings().root_budget
        sending = _Sending(request, self._clock.now_s)
        self._pending.add(sending)
        self._send(sending)

    def _send(self, sending: _Sending) -> None:
        sending.sent += 1
        sending.sent_s = self._clock.now_s
        attempt = sending.sent
        deadline_s = self._clock.now_s + self._plan.timeout_s

        def answered(answer: call_module.Answer) -> None:
            if attempt == sending.sent and not sending.is_ended:
                self._take(sending, answer)

        def adopt(call: call_module.Call) -> None:
            sending.current = call

        self._clock.call_at(deadline_s, self._time_out, sending, attempt)
        entry = self._entries[sending.request.kind.chain[0]]
        entry.send(
            outbound_call.OutboundCall(
                sending.request, 0, deadline_s, answered, adopt
            )
        )

    def _take(self, sending: _Sending, answer: call_module.Answer) -> None:
        request = sending.request
        is_wrong = answer.request_id != request.request_id
        is_cut = bool(answer.served) and answer.served != request.kind.chain
        if is_wrong or is_cut:
            self._recorder.wrong += 1
        if answer.served:
            self._end(sending, is_done=True)
            return
        refused = answer.refusal
        is_final = refused is not None and refused.retry_after_ms == 0
        self._fail(sending, is_final)

    def _time_out(self, sending: _Sending, attempt: int) -> None:
        if sending.is_ended or attempt != sending.sent:
            return
        call = sending.current
        if call is not None and self._policy.is_controlled:
            call.is_over = True
            self._clock.call_later(
                deployment.CLIENT_DELAY_S, call.node.cancel, call
            )
        self._fail(sending, is_final=False)

    def _fail(self, sending: _Sending, is_final: bool) -> None:
        maximum = MAXIMUM_RESENDS if self._plan.resends_hard else 0
        if sending.request.is_poison:
            maximum = POISON_RESENDS
            is_final = False
        if is_final or sending.sent > maximum:
            self._end(sending, is_done=False)
            return
        attempt = sending.sent

        def resend() -> None:
            if not sending.is_ended and sending.sent == attempt:
                self._send(sending)

        self._clock.call_later(RESEND_AFTER_S, resend)

    def _end(self, sending: _Sending, is_done: bool) -> None:
        sending.is_ended = True
        self._pending.discard(sending)
        self._recorder.ended.append(
            recorder_module.Ended(
                sending.arrived_s,
                sending.sent_s,
                self._clock.now_s,
                sending.request.kind.class_rank,
                is_done,
                sending.request.is_poison,
                sending.sent,
            )
        )
