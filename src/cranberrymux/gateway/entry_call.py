"""A client request at its first node, through all of its attempts."""

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import answer_judge
from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import client_identity
from cranberrymux.gateway import entry_answer
from cranberrymux.gateway import entry_quota
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import hop_request
from cranberrymux.gateway import origin as origin_module
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import relay
from cranberrymux.gateway import request_log
from cranberrymux.gateway import suspicion
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address
from cranberrymux.node import attempt as attempt_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity

# The endpoint's node aborts a long answer at the deadline. If that does not
# arrive, it is aborted here, this much later.
STREAMING_GRACE_S = 0.2

_Outcome = own_answers.Outcome


class EntryCall(relay.Relay):
    """Sends a client request to endpoints until one answer is final."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        call: inbound_call.InboundCall,
        route: route_module.Route,
        headers: headers_module.HeaderList,
        digest: str,
        account: client_account.ClientAccount | None,
        began_s: float,
    ) -> None:
        """Prepares the call; `start` sends it to an endpoint.

        Args:
            parts: Shared state of the gateway.
            call: The request, as received.
            route: Its route.
            headers: Headers to pass on, without those of each attempt.
            digest: Digest of its content.
            account: The client account that sent it; None for none.
            began_s: Monotonic seconds at which it arrived.
        """
        self._parts = parts
        self._call = call
        self._route = route
        self._account = account
        self._headers = headers
        name = parts.settings.dialect.request_id
        self._request_id = call.head.headers.first.get(name, b"")
        self._began_s = began_s
        self._origin = origin_module.Origin(
            parts, route, call.head.headers, began_s, account
        )
        wait_s = min(self._origin.left_s, route.timeout_s)
        self._quota = entry_quota.UNLIMITED
        is_limited = account is not None and account.is_limited
        if is_limited and self._origin.is_root:
            self._quota = entry_quota.EntryQuota(
                parts.quotas, account, route.objective_s, wait_s
            )
        self._deadline_s = self._began_s + wait_s
        self._attempts = attempts_module.Attempts(
            parts, route, parts.splits.choose(route)
        )
        self._log = request_log.RequestLog(
            parts,
            self._attempts,
            self._request_id,
            digest,
            self._began_s,
            self._deadline_s,
        )
        self._answer = entry_answer.EntryAnswer(
            parts, call, self._origin, self._attempts, self._log
        )
        self._digest = digest
        self._judge = answer_judge.AnswerJudge(parts, self._attempts)
        self._endpoint: endpoint_view.EndpointView | None = None
        # The endpoint of the last attempt, as it was known then.
        self._sent_to: endpoint_record.EndpointRecord | None = None
        self._sent_s = 0.0
        # True if an attempt is sent in a later event than it was started.
        self._is_connecting = False
        self._was_suspect = False
        self._deadline_key: int | None = None

    def start(self) -> None:
        """Sends the request to an endpoint, or refuses it."""
        self._parts.open_entry_calls += 1
        self._origin.begin_call()
        now_s = self._began_s
        if self._deadline_s <= now_s:
            self._refuse(_Outcome.EXPIRED)
            return
        if not self._can_end_before_stop(now_s):
            self._refuse(_Outcome.STOPPING)
            return
        if self._parts.quarantine.records and self._suspicion.is_refused:
            self._refuse(_Outcome.QUARANTINED)
            return
        self._call.on_cancel = self._handle_cancelled
        self._deadline_key = self._parts.deadlines.add(
            self._deadline_s, self._handle_timeout
        )
        if self._quota is entry_quota.UNLIMITED:
            self._send_first(now_s)
        else:
            self._quota.take(self._send_first, self._refuse_over_quota)

    def _send_first(self, now_s: float | None = None) -> None:
        tree_context = self._origin.admit(self._began_s)
        if tree_context is None:
            self._refuse(_Outcome.SHED)
            return
        self._attempts.tree_context = tree_context
        self._attempts.parent = self._origin.parent
        self._attempts.is_whole = self._origin.is_whole
        self._call.on_send_buffer_full = self._pause_answer
        self._call.on_send_buffer_drained = self._resume_answer
        self._send_next(now_s)

    def _send_again(self) -> None:
        """Sends the request once more, which takes a further token."""
        self._quota.take(self._send_next, self._refuse_over_quota)

    def _refuse_over_quota(self, cause: str) -> None:
        self._refuse(_Outcome.OVER_QUOTA, cause)

    def _send_next(self, now_s: float | None = None) -> None:
        """Sends the request; reads the clock unless `now_s` is given."""
        if now_s is None:
            now_s = self._parts.clock.now_s()
        left_ms = hop.shorten_deadline_ms(self._deadline_s - now_s)
        if left_ms <= 0:
            self._cancel_timer()
            self._handle_timeout()
            return
        # It may have waited, or been sent before, since it arrived.
        if not self._can_end_before_stop(now_s):
            self._refuse(_Outcome.STOPPING)
            return
        if self._parts.quarantine.records and self._suspicion.is_refused:
            self._refuse(_Outcome.QUARANTINED)
            return
        if self._account is not None and not self._is_key_valid(now_s):
            self._refuse(_Outcome.KEY_UNCONFIRMED)
            return
        endpoint = self._attempts.choose(now_s)
        if endpoint is None:
            self._refuse(
                _Outcome.REFUSED
                if self._attempts.has_tried
                else _Outcome.NO_ENDPOINT
            )
            return
        self._endpoint = endpoint
        self._sent_to = endpoint.record
        endpoint.outstanding += 1
        self._attempts.note_first(now_s)
        self._attempt = self._make_attempt(endpoint, left_ms)
        self._sent_s = now_s
        self._is_connecting = False
        self._attempt.start()
        self._is_connecting = True

    def _can_end_before_stop(self, now_s: float) -> bool:
        stop = self._parts.stop_admission
        return not stop.is_stopping or stop.admits(
            self._route.name, now_s, self._deadline_s
        )

    def _note_time(self, now_s: float) -> None:
        self._parts.stop_admission.note_time(
            self._route.name, now_s - self._began_s, self._route.timeout_s
        )

    @property
    def _suspicion(self) -> suspicion.Suspicion:
        return suspicion.Suspicion(self._parts, self._digest)

    def _is_key_valid(self, now_s: float) -> bool:
        """Checks the key again after a wait, in which it may be taken away."""
        table = self._parts.routes.table
        has_waited = self._quota.has_waited or self._attempts.has_tried
        if table is None or not has_waited:
            return True
        identity = client_identity.identify(
            self._parts, table, self._route, self._call.head.headers, now_s
        )
        return identity.verdict is client_identity.IdentityVerdict.ACCEPTED

    def _make_attempt(
        self, endpoint: endpoint_view.EndpointView, left_ms: int
    ) -> attempt_module.Attempt:
        dialect = self._parts.settings.dialect
        headers = [*self._headers, *self._attempts.headers()]
        if self._parts.quarantine.records:
            headers += self._suspicion.headers()
        record = endpoint.record
        return attempt_module.Attempt(
            self._parts.hop_connections,
            socket_address.get(record.address, record.port),
            hop_request.make(self._call, endpoint, dialect, left_ms, headers),
            self,
            request_identity.RequestIdentity(
                dialect.request_id, self._request_id
            ),
        )

    # Outcome of the current attempt.

    def attempt_sent(self) -> None:
        """Records that the endpoint may get the request from now on."""
        if self._is_connecting:
            self._sent_s = self._parts.clock.now_s()
        self._was_suspect = (
            bool(self._parts.quarantine.records) and self._suspicion.is_suspect
        )
        self._attempts.sent += 1
        if not self._call.is_body_complete:
            self._attempts.is_streamed = True

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes an answer on, or sends the request to another endpoint."""
        answer = hop_answer.HopAnswer(
            head, self._request_id, self._sent_s, self._parts.clock.now_s()
        )
        if hop.SUSPECT in answer.first:
            self._suspicion.learn(answer)
        if answer.has_died:
            self.attempt_lost(hop_answer.BACKEND_DIED)
            return
        endpoint = self._release_endpoint()
        self._origin.learn_from_answer(
            self._attempts.service, answer, self._began_s
        )
        if self._judge.is_final(endpoint, answer):
            self._cancel_timer()
            self._note_time(answer.received_s)
            self._answer.forward(answer, body, answer.received_s)
            return
        if answer.refusal is None:
            self._answer.keep_failure(answer, body)
        self._send_elsewhere(endpoint, answer)

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes on the head and first bytes of a long answer.

        If the request is sent to another endpoint, the rest is not read.
        """
        answer = hop_answer.HopAnswer(
            head, self._request_id, self._sent_s, self._parts.clock.now_s()
        )
        if self._judge.is_final(self._endpoint, answer):
            self._limit_streaming(answer.received_s)
            self._answer.start_streaming(answer, body)
            return
        endpoint = self._release_endpoint()
        self._cancel_attempt()
        if answer.refusal is None:
            # A failure that is not read whole cannot be kept as a fallback.
            self._attempts.may_have_run = True
        self._send_elsewhere(endpoint, answer)

    def _limit_streaming(self, now_s: float) -> None:
        """Lets a long answer end a little after the deadline at the latest."""
        self._cancel_timer()
        self._deadline_key = self._parts.deadlines.add(
            max(self._deadline_s, now_s) + STREAMING_GRACE_S,
            self._handle_streaming_timeout,
        )

    def attempt_part(self, part: bytes) -> None:
        """Passes on the next bytes of a long answer."""
        self._call.send_body(part)

    def attempt_ended(self) -> None:
        """Ends a long answer that is complete."""
        self._cancel_timer()
        self._note_time(self._parts.clock.now_s())
        self._release_endpoint()
        self._answer.finish_streaming()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Sends the request elsewhere, or answers that it may have run."""
        endpoint = self._release_endpoint()
        now_s = self._parts.clock.now_s()
        if loss.is_handed_over and loss is not hop_answer.BACKEND_DIED:
            self._note_lost_hop(endpoint)
        if self._answer.is_started:
            self._cancel_timer()
            self._answer.abort_streaming(loss.detail)
            return
        if endpoint is not None:
            endpoint.note_unreachable(now_s)
        if not loss.is_handed_over:
            self._send_next()
            return
        self._quota.note_run()
        self._attempts.note_lost(endpoint)
        # What a suspect does to one more backend server is not tried at once.
        if not self._was_suspect and self._attempts.take_repeat(now_s):
            self._log.log_repeat("lost")
            self._send_again()
            return
        self._fail(_Outcome.LOST, 502, loss.detail)

    def _note_lost_hop(
        self, endpoint: endpoint_view.EndpointView | None
    ) -> None:
        """Remembers a request that was lost with the endpoint's node."""
        if self._sent_to is None:
            return
        known = self._sent_to if endpoint is None else endpoint.record
        is_draining = known.state is endpoint_state.EndpointState.DRAINING
        self._parts.lost_hops.add(self._digest, self._sent_to, is_draining)

    def _send_elsewhere(
        self,
        endpoint: endpoint_view.EndpointView | None,
        answer: hop_answer.HopAnswer,
    ) -> None:
        """Sends the request on after an answer that the client does not get."""
        refusal = answer.refusal
        if refusal is None:
            self._quota.note_run()
            self._log.log_repeat("backend-failed")
            self._send_again()
            return
        follow_up = self._judge.note_refusal(endpoint, refusal, answer)
        if follow_up is None:
            self._send_next()
        else:
            self._refuse(follow_up, refusal.decode("latin-1"))

    # Ends of the request.

    def _cancel_timer(self) -> None:
        if self._deadline_key is not None:
            self._parts.deadlines.remove(self._deadline_key)
            self._deadline_key = None

    def _handle_timeout(self) -> None:
        """Ends the request at its deadline, or at the end of a stop."""
        self._deadline_key = None
        now_s = self._parts.clock.now_s()
        is_cut_off = now_s >= self._parts.stop_admission.ends_at_s
        endpoint = self._release_endpoint()
        if endpoint is not None and not is_cut_off:
            endpoint.note_timeout(now_s)
        self._cancel_attempt()
        if not self._attempts.sent:
            self._refuse(_Outcome.STOPPING if is_cut_off else _Outcome.EXPIRED)
            return
        self._note_time(now_s)
        if is_cut_off:
            self._fail(_Outcome.STOPPING, 504, "this node stops")
        else:
            self._fail(_Outcome.TIMED_OUT, 504, "no answer in time")

    def _handle_streaming_timeout(self) -> None:
        self._deadline_key = None
        self._release_endpoint()
        self._cancel_attempt()
        self._answer.abort_streaming("the deadline passed")

    def _handle_cancelled(self) -> None:
        self._cancel_timer()
        self._release_endpoint()
        self._cancel_attempt()
        if self._attempts.sent:
            self._quota.note_run()
        self._quota.release()
        self._log.count("cancelled", self._parts.clock.now_s())

    def _refuse(self, outcome: own_answers.Outcome, detail: str = "") -> None:
        self._cancel_timer()
        minimum_delay_s = 0.0
        if outcome is _Outcome.QUARANTINED:
            minimum_delay_s = self._suspicion.retry_delay_s
        if outcome is _Outcome.OVER_QUOTA:
            minimum_delay_s = self._quota.retry_delay_s
        self._quota.release()
        self._answer.refuse(outcome, detail, minimum_delay_s)

    def _fail(
        self, outcome: own_answers.Outcome, status: int, detail: str
    ) -> None:
        self._cancel_timer()
        self._quota.note_run()
        self._quota.release()
        self._answer.fail(outcome, status, detail)

    def _release_endpoint(self) -> endpoint_view.EndpointView | None:
        endpoint = self._endpoint
        self._endpoint = None
        if endpoint is not None:
            endpoint.outstanding -= 1
        return endpoint
