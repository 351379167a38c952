"""A request that begins at this node: where it goes and how it ends."""

import enum
import json
from typing import Any

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.pressure import work_report
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import attempt as attempt_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import outgoing
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer

MOST_NODES_ASKED = 4  # Nodes that may refuse one request before it is refused.
FIRST_FAILURE_STATUS = 400
# Times that backend servers may refuse one request before it is refused.
MOST_REFUSED = 8
_BODY_TYPE = (b"content-type", b"application/json")


class Outcome(enum.Enum):
    """How a request ended that this node answers itself."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    NO_ENDPOINT = "no-endpoint"
    SHED = "shed"
    REFUSED = "refused"
    EXPIRED = "expired"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"


class EntryCall:
    """One attempt of a client, from its request to its answer."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        call: inbound_call.InboundCall,
        route: route_module.Route,
        headers: headers_module.HeaderList,
    ) -> None:
        """Keeps the call; `start` sends it on.

        Args:
            parts: The gateway's parts.
            call: The request as read.
            route: Its route.
            headers: Headers to pass on, without the deadline.
        """
        self._parts = parts
        self._call = call
        self._route = route
        self._headers = headers
        dialect = parts.settings.dialect
        self._request_id = (
            headers_module.find(call.head.headers, dialect.request_id) or b""
        )
        self._began_s = parts.clock.now_s()
        self._left_s = self._read_left_s()
        self._deadline_s = self._began_s + min(self._left_s, route.timeout_s)
        self._descent = parts.lineage.trace(
            route.name, self._request_id, self._began_s + self._left_s
        )
        self._service = parts.splits.choose(route)
        self._tried: list[str] = []
        self._rank = float(route.priority)
        self._sent = 0
        # Endpoints whose backend server got it.
        self._arrived: set[str] = set()
        self._arrivals = 0
        self._attempt: attempt_module.Attempt | None = None
        self._endpoint: endpoint_view.EndpointView | None = None
        self._is_maybe_run = False
        self._is_streamed = False
        self._timer: Any = None

    def start(self) -> None:
        """Sends the request to the first endpoint."""
        self._call.on_ended = self._parts.call_ended
        self._parts.entered += 1
        left_s = self._deadline_s - self._began_s
        if left_s <= 0:
            self._refuse(Outcome.EXPIRED)
            return
        standing = self._find_standing()
        if standing is None:
            self._refuse(Outcome.SHED)
            return
        self._rank = standing.rank
        self._headers.append((hop.STANDING, hop.encode_standing(standing)))
        self._call.on_cancel = self._cancelled
        self._call.on_full = self._pause
        self._call.on_drained = self._resume
        self._timer = self._parts.reactor.callLater(left_s, self._timed_out)
        self._send_next()

    def _find_standing(self) -> hop.Standing | None:
        """Standing of the work; None if it may not begin."""
        parent = self._running_parent()
        if parent is not None:
            return parent.standing.of_call()
        callers = self._parts.callers
        if self._descent.is_call:
            share = callers.admission.least_share
            return hop.Standing(self._route.priority, share).of_call()
        kind = callers.offer(self._route, self._left_s, self._began_s)
        if kind is None:
            return None
        return hop.Standing(kind.priority, callers.admission.least_share)

    def _running_parent(self) -> parts_module.RunningWork | None:
        if self._descent.parent is None:
            return None
        return self._parts.running.get(self._descent.parent)

    def _read_left_s(self) -> float:
        name = self._parts.settings.dialect.deadline_ms
        said = headers_module.find(self._call.head.headers, name)
        if said is not None and said.isdigit():
            return int(said) / 1000
        return self._route.timeout_s

    def _send_next(self) -> None:
        now_s = self._parts.clock.now_s()
        endpoint = self._choose(now_s)
        if endpoint is None or len(self._tried) >= MOST_NODES_ASKED:
            outcome = Outcome.REFUSED if self._tried else Outcome.NO_ENDPOINT
            self._refuse(outcome)
            return
        record = endpoint.record
        self._tried.append(record.endpoint_id)
        left_ms = hop.shorten_ms(self._deadline_s - now_s)
        if left_ms <= 0:
            self._timed_out()
            return
        dialect = self._parts.settings.dialect
        headers = [
            *self._headers,
            (dialect.deadline_ms, b"%d" % left_ms),
            (hop.TARGET, record.backend_id.encode()),
        ]
        if len(self._tried) > 1:
            headers.append((hop.AGAIN, b"1"))
        self._endpoint = endpoint
        endpoint.outstanding += 1
        if not self._sent:
            self._parts.repeats.note_first(self._service, now_s)
        head = self._call.head
        self._attempt = attempt_module.Attempt(
            self._parts.hops,
            connection_pool.Address(record.address, record.port),
            outgoing.Outgoing(head.method, head.target, headers, self._call),
            self,
            self._request_id,
            dialect.request_id,
        )
        self._attempt.start()

    def _choose(self, now_s: float) -> endpoint_view.EndpointView | None:
        """Returns the next endpoint, within the attempts of the route."""
        endpoints = self._parts.endpoints
        if len(self._arrived) < self._route.attempts:
            return endpoints.choose(self._service, now_s, self._tried)
        return endpoints.choose(self._service, now_s, (), self._arrived)

    # The outcome of one attempt.

    def attempt_sent(self) -> None:
        """The endpoint's node may get the request from now on."""
        self._sent += 1
        if not self._call.is_body_complete:
            self._is_streamed = True

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes an answer on, or tries elsewhere."""
        endpoint = self._release()
        now_s = self._parts.clock.now_s()
        if endpoint is not None:
            endpoint.note_answer()
            self._take_load(endpoint, head, now_s)
        not_run = headers_module.find(head.headers, hop.NOT_RUN)
        if not_run is not None:
            self._take_refusal(endpoint, not_run, now_s)
            return
        if endpoint is not None:
            endpoint.note_run(True)
        self._finish_timer()
        if not self._descent.is_call and head.status < FIRST_FAILURE_STATUS:
            advice = self._parts.callers.advice(self._route)
            advice.note_latency(now_s - self._began_s)
        self._count(f"{head.status // 100}xx", now_s)
        self._call.answer(head.status, _visible(head), body)

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes the beginning of a long answer on."""
        self._finish_timer()
        self._call.start_answer(head._replace(headers=_visible(head)))
        self._call.send_body(body)

    def attempt_part(self, part: bytes) -> None:
        """Passes more of a long answer on."""
        self._call.send_body(part)

    def attempt_ended(self) -> None:
        """Ends a long answer."""
        self._release()
        self._call.finish()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Tries elsewhere, or says that the outcome is unknown."""
        endpoint = self._release()
        now_s = self._parts.clock.now_s()
        if self._call.is_head_sent:
            self._log(Outcome.TRUNCATED, loss.detail)
            self._call.abort()
            return
        if endpoint is not None:
            endpoint.note_unreachable(now_s)
            if loss.is_handed_over:
                self._note_arrival(endpoint)
        if not loss.is_handed_over:
            self._send_next()
            return
        self._is_maybe_run = True
        if self._may_repeat(now_s):
            self._send_next()
            return
        self._fail(Outcome.LOST, 502, loss.detail)

    # Ends.

    def _take_load(
        self,
        endpoint: endpoint_view.EndpointView,
        head: answer_head.AnswerHead,
        now_s: float,
    ) -> None:
        said = headers_module.find(head.headers, hop.LOAD)
        if said is not None and said.isdigit():
            endpoint.note_load(now_s, int(said))
        work = headers_module.find(head.headers, hop.WORK)
        if work is not None:
            self._take_work(work_report.decode(work), head, now_s)

    def _take_work(
        self,
        report: work_report.WorkReport,
        head: answer_head.AnswerHead,
        now_s: float,
    ) -> None:
        parent = self._running_parent()
        if parent is not None:
            work_report.add(parent.report, report)
        if self._descent.is_call:
            return
        is_refused = headers_module.find(head.headers, hop.NOT_RUN) is not None
        self._parts.callers.admission.note_report(
            now_s,
            self._route.name,
            report,
            head.status < FIRST_FAILURE_STATUS and not is_refused,
        )

    def _take_refusal(
        self,
        endpoint: endpoint_view.EndpointView | None,
        reason: bytes,
        now_s: float,
    ) -> None:
        """The endpoint's node, or the backend server, did not run it."""
        if endpoint is not None and reason not in hop.BUSY_REASONS:
            endpoint.note_away(now_s)
        is_spent = False
        if reason == hop.BACKEND_FULL:
            # What the backend server itself refused has arrived there.
            if endpoint is not None:
                endpoint.note_run(False)
                self._note_arrival(endpoint)
                self._tried.remove(endpoint.record.endpoint_id)
            is_spent = not self._may_arrive_again(now_s, MOST_REFUSED)
        if self._is_streamed or is_spent:
            self._refuse(Outcome.REFUSED, reason.decode("latin-1"))
            return
        self._send_next()

    def _may_repeat(self, now_s: float) -> bool:
        return (
            self._route.is_idempotent
            and not self._is_streamed
            and self._may_arrive_again(now_s, self._route.attempts)
        )

    def _note_arrival(self, endpoint: endpoint_view.EndpointView) -> None:
        self._arrived.add(endpoint.record.endpoint_id)
        self._arrivals += 1

    def _may_arrive_again(self, now_s: float, most: int) -> bool:
        if self._arrivals >= most:
            return False
        if not self._parts.repeats.take(self._service, now_s, self._rank):
            return False
        self._parts.meters.repeats.labels(self._service).inc()
        return True

    def _timed_out(self) -> None:
        self._timer = None
        endpoint = self._release()
        if endpoint is not None:
            endpoint.note_silence(self._parts.clock.now_s())
        if self._attempt is not None:
            self._attempt.cancel()
        if self._call.is_head_sent:
            self._log(Outcome.TRUNCATED, "the deadline passed")
            self._call.abort()
        elif self._sent:
            self._fail(Outcome.TIMED_OUT, 504, "no answer in time")
        else:
            self._refuse(Outcome.EXPIRED)

    def _cancelled(self) -> None:
        self._finish_timer()
        self._release()
        if self._attempt is not None:
            self._attempt.cancel()

    def _refuse(self, outcome: Outcome, detail: str = "") -> None:
        """Answers that the request did not run, if that is so."""
        if self._is_maybe_run:
            self._fail(Outcome.LOST, 502, "an attempt was lost")
            return
        self._finish_timer()
        self._log(outcome, detail)
        advice = self._parts.callers.advice(self._route)
        wait_s = advice.wait_s(self._left_s, self._parts.generator)
        refuse(self._parts, self._call, outcome.value, wait_s)

    def _fail(self, outcome: Outcome, status: int, detail: str) -> None:
        self._finish_timer()
        self._log(outcome, detail)
        body = json.dumps({"error": outcome.value, "detail": detail}).encode()
        self._call.answer(status, [self._id_header(), _BODY_TYPE], body)

    def _id_header(self) -> tuple[bytes, bytes]:
        return (self._parts.settings.dialect.request_id, self._request_id)

    def _count(self, outcome: str, now_s: float) -> None:
        meters = self._parts.meters
        meters.requests.labels(self._route.name, outcome).inc()
        meters.request_s.labels(self._route.name).observe(now_s - self._began_s)

    def _log(self, outcome: Outcome, detail: str) -> None:
        now_s = self._parts.clock.now_s()
        self._count(outcome.value, now_s)
        self._parts.events.info(
            "request-ended",
            reason=outcome.value,
            request_id=self._request_id.decode("latin-1"),
            route=self._route.name,
            service=self._service,
            version=self._parts.routes.version,
            share=round(self._parts.callers.admission.least_share, 3),
            tried=self._tried,
            sent=self._sent,
            elapsed_ms=round((now_s - self._began_s) * 1000),
            left_ms=round((self._deadline_s - now_s) * 1000),
            detail=detail,
        )

    def _release(self) -> endpoint_view.EndpointView | None:
        endpoint = self._endpoint
        self._endpoint = None
        if endpoint is not None:
            endpoint.outstanding -= 1
        return endpoint

    def _finish_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _pause(self) -> None:
        if self._attempt is not None:
            self._attempt.pause()

    def _resume(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()


def refuse(
    parts: parts_module.GatewayParts,
    call: inbound_call.InboundCall,
    reason: str,
    wait_s: float,
) -> None:
    """Answers that a request did not run and when to come back."""
    dialect = parts.settings.dialect
    request_id = headers_module.find(call.head.headers, dialect.request_id)
    headers = [
        (dialect.request_id, request_id or b""),
        (dialect.retry_after, b"%.3f" % wait_s),
        _BODY_TYPE,
    ]
    body = json.dumps({"error": "not-run", "detail": reason}).encode()
    call.answer(503, headers, body)


def _visible(head: answer_head.AnswerHead) -> headers_module.HeaderList:
    return hop.strip(headers_module.forwardable(head.headers))
