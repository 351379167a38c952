"""Where a request comes from, and what its answer teaches."""

from cranberrymux.decisions.pressure import work_report
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module

FIRST_FAILURE_STATUS = 400


class Origin:
    """A client's request that begins a tree, or a call of one that runs here.

    Attributes:
        left_s: Time that the caller allows.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        route: route_module.Route,
        headers: headers_module.HeaderList,
        now_s: float,
    ) -> None:
        """Finds out which of the two it is.

        Args:
            parts: The gateway's parts.
            route: Route of the request.
            headers: Its headers.
            now_s: When it came.
        """
        dialect = parts.settings.dialect
        said = headers_module.find(headers, dialect.deadline_ms) or b""
        self.left_s = int(said) / 1000 if said.isdigit() else route.timeout_s
        self._parts = parts
        self._route = route
        self._descent = parts.lineage.match(
            route.name,
            headers_module.find(headers, dialect.request_id) or b"",
            now_s + self.left_s,
        )

    def find_standing(self, now_s: float) -> hop.Standing | None:
        """Returns the standing of the work; None if it may not begin."""
        parent = self._parts.running.find(self._descent.parent)
        if parent is not None:
            return parent.standing.of_call()
        callers = self._parts.callers
        share = callers.admission.minimum_share
        if self._descent.is_call:
            return hop.Standing(self._route.priority, share).of_call()
        if not callers.offer(self._route, self.left_s, now_s):
            return None
        return hop.Standing(self._route.priority, share)

    def find_wait_s(self) -> float:
        """Draws when a refused caller should come back."""
        advice = self._parts.callers.advice(self._route)
        return advice.draw_delay_s(self.left_s, self._parts.generator)

    def begin_call(self) -> None:
        """Takes note that the request goes on its way."""
        now_s = self._parts.clock.now_s()
        self._parts.running.begin_call(self._descent.parent, now_s)

    def end_call(self, is_failed: bool) -> None:
        """Takes note of its end; to be called once for each begin."""
        now_s = self._parts.clock.now_s()
        self._parts.running.end_call(self._descent.parent, now_s, is_failed)

    def learn(
        self,
        service: str,
        head: answer_head.AnswerHead,
        began_s: float,
        now_s: float,
    ) -> None:
        """Takes what an answer tells of the tree and its cost.

        Args:
            service: The service that was asked.
            head: The answer.
            began_s: When the request came.
            now_s: Present time.
        """
        is_refused = hop_answer.find_refusal(head) is not None
        is_whole = head.status < FIRST_FAILURE_STATUS and not is_refused
        work = headers_module.find(head.headers, hop.WORK)
        report = work_report.decode(work) if work is not None else {}
        if report.keys() - {service}:
            self._parts.repeats.mark_tree_route(self._route.name)
        parent = self._parts.running.find(self._descent.parent)
        if parent is not None:
            work_report.add(parent.report, report)
        if self._descent.is_call:
            return
        callers = self._parts.callers
        callers.admission.note_report(now_s, self._route.name, report, is_whole)
        if is_whole:
            callers.advice(self._route).note_latency(now_s - began_s)
