"""Whether a request is a root or a call, and what follows from that."""

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import running_request
from cranberrymux.models import whole_number
from cranberrymux.node.http import headers as headers_module

FIRST_ERROR_STATUS = 400


class Origin:
    """The root of a call tree, or a call of a request that runs here.

    Attributes:
        left_s: Seconds that the caller allows.
        parent: The running request that made this one, once it is admitted;
            None for a root, or if it is not known.
        is_whole: True for an admitted root that is known to make no calls.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        route: route_module.Route,
        headers: headers_module.Headers,
        now_s: float,
        account: client_account.ClientAccount | None = None,
    ) -> None:
        """Matches the request with those that run here.

        Args:
            parts: Shared state of the gateway.
            route: Route of the request.
            headers: Headers of the request.
            now_s: Monotonic seconds at which it arrived.
            account: The client account that sent it; None for none.
        """
        dialect = parts.settings.dialect
        first = headers.first
        left_ms = whole_number.decode(first.get(dialect.deadline_ms))
        self.left_s = route.timeout_s if left_ms is None else left_ms / 1000
        self.parent: running_request.RunningRequest | None = None
        self.is_whole = False
        self._parts = parts
        self._route = route
        self._account_name = "" if account is None else account.name
        table = parts.routes.table
        self._has_accounts = table is not None and not table.accounts.is_empty
        self._rank = request_rank.find_rank(route, account, self._has_accounts)
        if account is not None or (
            self._has_accounts and dialect.api_key in first
        ):
            # Backend servers get no keys, so that a request with a key is a
            # root, whatever its id and deadline resemble. Public routes look
            # no key up.
            self._parent_match = parent_matcher.ROOT
        else:
            self._parent_match = parts.parent_matcher.match(
                route.name,
                first.get(dialect.request_id, b""),
                now_s + self.left_s,
            )

    @property
    def is_root(self) -> bool:
        """True if no request that runs here made it."""
        return not self._parent_match.is_call

    def admit(self, now_s: float) -> hop.TreeContext | None:
        """Returns the context of the request; None if a root is refused.

        Calls are always admitted, as their tree has been.
        """
        entry_admission = self._parts.entry_admission
        share = entry_admission.root_admission.minimum_share
        if self._parent_match.is_call:
            parent = self.parent = self._find_parent()
            if parent is not None:
                return parent.tree_context.for_call()
            return hop.TreeContext(self._rank, share).for_call()
        offered = entry_admission.offer(
            self._route,
            self._rank,
            self.left_s,
            now_s,
            self._account_name,
        )
        if not offered:
            self._parts.class_log.note_refusal(now_s)
            if self._account_name:
                self._parts.metrics.held_back.note(self._account_name)
            return None
        is_route_named = self._has_accounts and not self._account_name
        rank: float = self._rank
        if entry_admission.root_admission.is_known_leaf(self._route.name):
            # Nothing comes after it, so that it need not wait behind the calls
            # of trees of equal importance.
            rank -= hop.CALL_RANK_BONUS
            self.is_whole = True
        return hop.TreeContext(
            rank,
            share,
            account=self._account_name,
            root_route=self._route.name if is_route_named else "",
            offered=offered if self._has_accounts else 1,
        )

    def draw_retry_delay_s(self) -> float:
        """Draws the seconds after which a refused caller retries."""
        advice = self._parts.entry_admission.get_retry_advice(self._route)
        return advice.draw_delay_s(self.left_s, self._parts.generator)

    def begin_call(self) -> None:
        """Records the start of a call at the request that made it."""
        parent = self._parent_match.parent
        if parent is not None:
            now_s = self._parts.clock.now_s()
            self._parts.running_requests.begin_call(parent, now_s)

    def end_call(self, is_failed: bool) -> None:
        """Records the end of a call; to be called once per `begin_call`."""
        parent = self._parent_match.parent
        if parent is not None:
            now_s = self._parts.clock.now_s()
            self._parts.running_requests.end_call(parent, now_s, is_failed)

    def learn_from_answer(
        self,
        service: str,
        answer: hop_answer.HopAnswer,
        began_s: float,
    ) -> None:
        """Learns costs and shares from an endpoint's answer.

        Args:
            service: Service of the endpoint.
            answer: The answer.
            began_s: Monotonic seconds at which the request arrived.
        """
        now_s = answer.received_s
        is_successful = (
            answer.head.status < FIRST_ERROR_STATUS and answer.refusal is None
        )
        work = answer.first.get(hop.WORK)
        report = work_report.decode(work) if work is not None else {}
        if answer.rate_limit_per_s is not None and service in report:
            self._ignore_limited_share(service, report, now_s)
        if len(report) > (service in report):
            self._parts.repeats.mark_tree_route(self._route.name)
        entry_admission = self._parts.entry_admission
        if self._parent_match.is_call:
            parent = self._find_parent()
            if parent is not None:
                work_report.add(parent.report, report)
            entry_admission.root_admission.note_call_report(now_s, report)
            return
        entry_admission.root_admission.note_report(
            now_s,
            self._route.name,
            report,
            is_successful,
            traffic_class_module.make_key(
                self._rank, self._account_name, self._route.name
            ),
        )
        if is_successful:
            entry_admission.get_retry_advice(self._route).note_latency(
                now_s - began_s
            )

    def _find_parent(self) -> running_request.RunningRequest | None:
        return self._parts.running_requests.find(self._parent_match.parent)

    def _ignore_limited_share(
        self, service: str, report: work_report.WorkReport, now_s: float
    ) -> None:
        """Removes the share of a rate-limited endpoint while others have room.

        What its limit does not let through, the others take, so that it tells
        nothing of the service.
        """
        if not self._parts.endpoints.has_unlimited(service, now_s):
            return
        admission = self._parts.entry_admission.root_admission
        report[service] = report[service]._replace(
            share=admission.get_service_share(service), account_share=None
        )
