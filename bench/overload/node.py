"""Simulated node, which applies admission and quarantine to calls."""

from bench.overload import admission_factory
from bench.overload import backend as backend_module
from bench.overload import call as call_module
from bench.overload import context as context_module
from bench.overload import credit_pool
from bench.overload import deployment
from bench.overload import directory as directory_module
from bench.overload import egress as egress_module
from bench.overload import endpoint_records
from bench.overload import outbound_call as outbound_call_module
from bench.overload import refusals
from bench.overload import timer
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine as quarantine_module
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.models import answer_kind
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal

LOAD_HINT_PERIOD_S = 0.1
# Down time and warm-up of a backend server that a poison request crashed.
CRASH_DOWN_S = 3.0
CRASH_WARM_UP_S = 2.0
ANNOUNCE_DELAY_S = 0.05

_Outcome = outcome_module.Outcome


class Node:
    """An endpoint, which is a node with its backend server.

    Attributes:
        endpoint_id: Unique id.
        zone: Availability zone.
        service: Service that it is an endpoint of.
        backend: Its backend server.
        egresses: Calling side for each other service, by name of the service.
        credits: Credits that it grants to callers in the credits baseline.
        quarantine: Counts deaths under every policy, but refuses and isolates
            calls only under cranberrymux.
        load_hint: Load that the backend server last reported, 0.0 to 1.0.
        is_down: True while the backend server is down.
        is_known_down: Last announced `is_down`, which callers see.
    """

    def __init__(
        self,
        context: context_module.Context,
        service: deployment.Service,
        endpoint_id: str,
        zone: str,
        directory: "directory_module.Directory",
    ) -> None:
        """Creates an endpoint that is up.

        Args:
            context: Objects shared by the run.
            service: Service that it is an endpoint of.
            endpoint_id: Unique id.
            zone: Availability zone.
            directory: Takes its announcements and quarantine reports.
        """
        self.service = service
        self.backend = backend_module.Backend(
            context.clock, context.generator, service
        )
        self.egresses: dict[str, egress_module.Egress] = {}
        self.load_hint = 0.0
        self.is_down = False
        self.is_known_down = False
        self._clock = context.clock
        self._policy = context.policy
        self._recorder = context.recorder
        self._directory = directory
        self.endpoint_id = endpoint_id
        self.zone = zone
        self._incarnation = 1
        self._sequence = 0
        self._admission = admission_factory.make_admission(context, service)
        self.credits = credit_pool.CreditPool(service.slots)
        self._queued: dict[str, call_module.Call] = {}
        self._running: dict[str, call_module.Call] = {}
        self._timer = timer.Timer(context.clock, self._poll)
        self.quarantine = quarantine_module.Quarantine(
            quarantine_settings.QuarantineSettings(), endpoint_id, 1
        )
        self._clock.call_later(LOAD_HINT_PERIOD_S, self._read_hint)

    @property
    def record(self) -> endpoint_record.EndpointRecord:
        """Endpoint record of its current state."""
        return endpoint_records.make_record(
            self, self._incarnation, self._sequence
        )

    def receive(self, call: call_module.Call) -> None:
        """Handles a call that arrives from a caller."""
        if call.is_over:
            return
        if self.is_down:
            self._answer(call, (), refusals.DOWN)
            return
        if self._policy.is_cranberrymux:
            classified = self.quarantine.classify(
                self._clock.now_s,
                call.fingerprint,
                call.lost_attempts,
            )
            if isinstance(classified, refusal.Refusal):
                self._answer(call, (), classified)
                return
            call.isolation = classified
        ticket = ticket_module.Ticket(
            call.call_id,
            call.request.priority,
            call.request.kind.class_rank,
            call.deadline_s,
            is_suspect=call.isolation is not isolation.Isolation.CLEAR,
            is_exclusive=call.isolation is isolation.Isolation.ALONE,
        )
        self._queued[call.call_id] = call
        verdict = self._admission.offer(self._clock.now_s, ticket)
        if not isinstance(verdict, queued.Queued):
            self._apply_verdict(call.call_id, verdict)
        self._poll()

    def cancel(self, call: call_module.Call) -> None:
        """Handles a cancellation that arrives from the caller."""
        now_s = self._clock.now_s
        if self._admission.cancel(now_s, call.call_id):
            self._queued.pop(call.call_id, None)
            self._poll()
            return
        if call.call_id not in self._running:
            return
        if call.child is not None:
            self.cancel_child(call.child)
        self._release(call, _Outcome.CANCELLED)

    def cancel_child(self, child: call_module.Call) -> None:
        """Cancels a downstream call at its node."""
        child.is_over = True
        self._clock.call_later(0.001, child.node.cancel, child)

    def die(self, is_poison: bool) -> None:
        """Stops the backend server and answers all its calls as not served.

        Args:
            is_poison: True if a poison request crashed it, which counts as a
                death in the figures.
        """
        if self.is_down:
            return
        self.is_down = True
        self._recorder.deaths += is_poison
        self.backend.die()
        for report in self.quarantine.endpoint_died(self._clock.now_s):
            self._directory.report(self.service.name, report)
        now_s = self._clock.now_s
        for call_id, call in list(self._queued.items()):
            self._admission.cancel(now_s, call_id)
            self._answer(call, (), refusals.DOWN)
        self._queued.clear()
        for call_id, call in list(self._running.items()):
            if call.child is not None:
                self.cancel_child(call.child)
            self._admission.finish(now_s, call_id, _Outcome.LOST)
            self._answer(call, (), refusals.LOST)
        self._running.clear()
        self._clock.call_later(ANNOUNCE_DELAY_S, self._announce)

    def restart(self, warm_s: float) -> None:
        """Starts the backend server again, cold.

        Args:
            warm_s: Seconds until it is warm.
        """
        self.is_down = False
        self._incarnation += 1
        self.backend.warm_up(warm_s)
        self._clock.call_later(ANNOUNCE_DELAY_S, self._announce)

    def _announce(self) -> None:
        self.is_known_down = self.is_down
        self._sequence += 1
        self._directory.announce(self.record)

    def _read_hint(self) -> None:
        self.load_hint = self.backend.read_load()
        self._admission.set_load_hint(self._clock.now_s, self.load_hint)
        self._clock.call_later(LOAD_HINT_PERIOD_S, self._read_hint)

    def _poll(self) -> None:
        now_s = self._clock.now_s
        for call_id, verdict in self._admission.poll(now_s):
            self._apply_verdict(call_id, verdict)
        self._timer.set(self._admission.next_poll_s(now_s))

    def _apply_verdict(
        self, call_id: str, verdict: admitted.Admitted | refusal.Refusal
    ) -> None:
        call = self._queued.pop(call_id)
        if isinstance(verdict, refusal.Refusal):
            self._answer(call, (), verdict)
            return
        self._running[call_id] = call
        self._recorder.runs += 1
        self.credits.record_wait(self._clock.now_s, verdict.waited_s)
        self.quarantine.start(
            call_id,
            call.fingerprint,
            is_suspect=call.isolation is not isolation.Isolation.CLEAR,
        )
        self.backend.run(call, self._handle_work_done, self._crash)

    def _crash(self) -> None:
        self.die(is_poison=True)
        self._clock.call_later(CRASH_DOWN_S, self.restart, CRASH_WARM_UP_S)
        warm_s = self._clock.now_s + CRASH_DOWN_S + CRASH_WARM_UP_S
        self._recorder.last_warm_s = max(self._recorder.last_warm_s, warm_s)

    def _handle_work_done(self, call: call_module.Call) -> None:
        chain = call.request.kind.chain
        if call.depth + 1 == len(chain):
            self._finish(call, (self.service.name,))
            return
        call.downstream_started_s = self._clock.now_s

        def on_answer(answer: call_module.Answer) -> None:
            self._handle_child_answer(call, answer)

        def on_attempt(child: call_module.Call) -> None:
            call.child = child

        outbound_call = outbound_call_module.OutboundCall(
            call.request, call.depth + 1, call.deadline_s, on_answer, on_attempt
        )
        self.egresses[chain[outbound_call.depth]].send(outbound_call)

    def _handle_child_answer(
        self, call: call_module.Call, answer: call_module.Answer
    ) -> None:
        if call.call_id not in self._running:
            return
        call.child = None
        call.downstream_s = self._clock.now_s - call.downstream_started_s
        deeper = call.request.kind.chain[call.depth + 1]
        level = self.egresses[deeper].level
        self._admission.set_downstream_level(self._clock.now_s, deeper, level)
        if answer.request_id != call.request.request_id:
            self._recorder.wrong_answers += 1
        if answer.served_by:
            self._finish(call, (self.service.name, *answer.served_by))
            return
        self._finish(call, ())

    def _finish(
        self, call: call_module.Call, served_by: tuple[str, ...]
    ) -> None:
        self._release(call, _Outcome.OK if served_by else _Outcome.FAILED)
        self._answer(call, served_by, None)

    def _release(
        self, call: call_module.Call, outcome: outcome_module.Outcome
    ) -> None:
        now_s = self._clock.now_s
        self._running.pop(call.call_id, None)
        self.backend.release(call)
        is_clean = outcome is _Outcome.OK
        for report in self.quarantine.finish(now_s, call.call_id, is_clean):
            self._directory.report(self.service.name, report)
        self._admission.finish(now_s, call.call_id, outcome, call.downstream_s)
        self._poll()

    def _answer(
        self,
        call: call_module.Call,
        served_by: tuple[str, ...],
        refused: refusal.Refusal | None,
    ) -> None:
        is_not_run = (
            refused is not None
            and refused.kind is answer_kind.AnswerKind.NOT_RUN
        )
        if is_not_run and call.has_run:
            self._recorder.wrong_answers += 1
        call.on_answer(
            call_module.Answer(
                call.request.request_id,
                served_by,
                refused,
                self._admission.level,
                self._admission.load,
            )
        )
