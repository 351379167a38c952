"""Choice of the endpoints that one request is sent to, and its repeats."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.retries import repeat_budget
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import running_request
from cranberrymux.node.http import headers as headers_module

# Nodes that may refuse a request before its caller is refused.
MAXIMUM_NODES_TRIED = 4
# Refusals by backend servers before the caller of a request is refused.
MAXIMUM_BACKEND_REFUSALS = 8


class Attempts:
    """Limits how often and to which endpoints one request is sent.

    A node that refuses has not sent the request to its backend server, so
    sending it to another node is no repeat. What reached a backend server
    counts against the attempts of the route and the budget of repeats.

    Attributes:
        route: Route of the request.
        service: The service that is to run it.
        tree_context: What the request passes on of its call tree.
        parent: The running request that made this one; None for a root, or if
            it is not known.
        is_whole: True for a root that is known to make no calls.
        sent: Number of times that a node may have got the request.
        is_streamed: True once part of its body was passed on and not kept, so
            that it cannot be sent again.
        may_have_run: True if an answer was lost after the request was sent.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        route: route_module.Route,
        service: str,
    ) -> None:
        """Starts without attempts.

        Args:
            parts: Shared state of the gateway.
            route: Route of the request.
            service: The service that is to run it.
        """
        self._parts = parts
        self.route = route
        self.service = service
        self._asked_ids: list[str] = []
        self._reached_ids: set[str] = set()
        self._reached_count = 0
        # What may have run before, or was refused by a backend server, is sent
        # again as a repeat.
        self._is_repeat = False
        self._limit_waits_s: list[float] = []
        self._other_refusals = 0
        self._leaves_zone = False
        self.tree_context = hop.DEFAULT_TREE_CONTEXT
        self.parent: running_request.RunningRequest | None = None
        self.is_whole = False
        self.sent = 0
        self.is_streamed = False
        self.may_have_run = False

    @property
    def tried_ids(self) -> tuple[str, ...]:
        """Ids of the endpoints that were tried, for log lines."""
        return (
            *self._asked_ids,
            *sorted(self._reached_ids.difference(self._asked_ids)),
        )

    @property
    def has_tried(self) -> bool:
        """True if an endpoint was tried."""
        return bool(self._asked_ids or self._reached_ids)

    def headers(self) -> headers_module.HeaderList:
        """Returns the headers that depend on earlier attempts."""
        tree_context = self.tree_context
        encoded = hop.encode_tree_context(
            tree_context, self._is_repeat, self._leaves_zone
        )
        headers = [(hop.TREE_CONTEXT, encoded)]
        headers += hop.encode_account(tree_context)
        if len(self._asked_ids) > 1:
            headers.append((hop.RESENT, b"1"))
        return headers

    def choose(self, now_s: float) -> endpoint_view.EndpointView | None:
        """Returns the next endpoint; None if no more may be tried.

        Once the attempts of the route are used up, only endpoints whose
        backend servers already had the request are chosen.
        """
        if len(self._asked_ids) >= MAXIMUM_NODES_TRIED:
            return None
        endpoints = self._parts.endpoints
        if len(self._reached_ids) < self.route.attempts:
            endpoint = endpoints.choose(
                self.service,
                now_s,
                self._asked_ids,
                stays=self.tree_context.has_left_zone,
            )
        else:
            endpoint = endpoints.choose(
                self.service, now_s, (), self._reached_ids
            )
        if endpoint is not None:
            self._asked_ids.append(endpoint.record.endpoint_id)
            if endpoint.rate_limit.per_s is not None:
                endpoints.note_sent(endpoint, now_s)
            zone = endpoint.record.zone
            self._leaves_zone = zone != self._parts.settings.zone
            self._parts.zone_log.count_send(self.service, zone)
        return endpoint

    def note_first(self, now_s: float) -> None:
        """Counts the request in the budget of repeats before its first send."""
        if self.sent:
            return
        repeats = self._parts.repeats
        if self.tree_context.is_repeat:
            repeats.note_repeated_call(self.service, now_s)
        else:
            repeats.note_first(self.service, now_s, self.route.name)

    def note_lost(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Records that an answer was lost after the request was sent."""
        self.may_have_run = True
        self._is_repeat = True
        if endpoint is not None:
            self._note_reached(endpoint)

    def note_failed(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Records that an endpoint ran the request and failed."""
        self._is_repeat = True
        if endpoint is not None:
            self._note_reached(endpoint)

    def note_refused(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Records that the backend server itself refused the request."""
        self._is_repeat = True
        if endpoint is not None:
            endpoint.note_acceptance(False)
            self._note_reached(endpoint)
            self._asked_ids.remove(endpoint.record.endpoint_id)

    def note_node_refused(self, reason: bytes, limit_wait_s: float) -> None:
        """Records that an endpoint's node refused the request.

        Args:
            reason: One of the reasons of `hop.NOT_RUN`.
            limit_wait_s: Seconds until the rate limit of its backend server
                lets one more request start.
        """
        if reason == hop.LIMITED:
            self._limit_waits_s.append(limit_wait_s)
        else:
            self._other_refusals += 1

    @property
    def room_wait_s(self) -> float:
        """Seconds until one of the endpoints that refused has room.

        0.0 unless it was for their rate limits that all of them refused.
        """
        if self._other_refusals:
            return 0.0
        return min(self._limit_waits_s, default=0.0)

    def take_repeat(self, now_s: float) -> bool:
        """Takes a repeat of a request that may have run; False if none is left.

        Only idempotent requests whose body is still there are repeated.
        """
        return (
            self.route.is_idempotent
            and not self.is_streamed
            and self._take_from_budget(now_s, self.route.attempts)
        )

    def take_repeat_after_refusal(self, now_s: float) -> bool:
        """Takes a repeat after a backend server refused; False if none is left.

        A refused request has made no calls, but those of the run that follows
        count as repeats, so that the budget for repeats of trees is needed.
        """
        return not self.is_streamed and self._take_from_budget(
            now_s, MAXIMUM_BACKEND_REFUSALS
        )

    def _note_reached(self, endpoint: endpoint_view.EndpointView) -> None:
        self._reached_ids.add(endpoint.record.endpoint_id)
        self._reached_count += 1

    def _take_from_budget(self, now_s: float, maximum_reached: int) -> bool:
        if self._reached_count >= maximum_reached:
            return False
        remaining_calls = 1
        if self.parent is not None:
            remaining_calls = self.parent.remaining_calls
        candidate = repeat_budget.RepeatCandidate(
            self.service,
            self.tree_context.rank,
            self.route.name,
            remaining_calls,
            self.is_whole,
        )
        if not self._parts.repeats.take(candidate, now_s):
            return False
        self._parts.metrics.repeats.labels(self.service).inc()
        return True
