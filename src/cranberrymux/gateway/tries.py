"""The endpoints that one request was sent to, and whether one more may be."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.retries import repeat_budget
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import headers as headers_module

MOST_NODES_ASKED = 4  # Nodes that may refuse one request before it is refused.
# Times that backend servers may refuse one request before it is refused.
MOST_REFUSED = 8


class Tries:
    """The tries of one request.

    A node that refuses has kept the request from its backend server, so
    asking another one is no repeat. What reached a backend server counts
    against the attempts of the route and the budget of repeats.

    Attributes:
        route: Route of the request.
        service: The service that is to run it.
        standing: Standing of its work.
        sent: Times that a node may have got the request.
        is_streamed: True once part of its body was passed on and let go.
        is_maybe_run: True if an attempt was lost after it was handed over.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        route: route_module.Route,
        service: str,
    ) -> None:
        """Starts with none."""
        self._parts = parts
        self.route = route
        self.service = service
        self._asked: list[str] = []
        self._arrived: set[str] = set()
        self._arrivals = 0
        self._has_run = False
        self.standing = hop.Standing(float(route.priority), 1.0)
        self.sent = 0
        self.is_streamed = False
        self.is_maybe_run = False

    @property
    def asked(self) -> tuple[str, ...]:
        """Endpoints that had the request, for people."""
        return (*self._asked, *sorted(self._arrived.difference(self._asked)))

    def headers(self) -> headers_module.HeaderList:
        """What the chosen node is told of the tries."""
        is_repeat = self.standing.is_repeat or self._has_run
        standing = self.standing._replace(is_repeat=is_repeat)
        headers = [(hop.STANDING, hop.encode_standing(standing))]
        if len(self._asked) > 1:
            headers.append((hop.AGAIN, b"1"))
        return headers

    def choose(self, now_s: float) -> endpoint_view.EndpointView | None:
        """Returns the next endpoint, within the attempts of the route."""
        if len(self._asked) >= MOST_NODES_ASKED:
            return None
        endpoints = self._parts.endpoints
        if len(self._arrived) < self.route.attempts:
            found = endpoints.choose(self.service, now_s, self._asked)
        else:
            found = endpoints.choose(self.service, now_s, (), self._arrived)
        if found is not None:
            self._asked.append(found.record.endpoint_id)
        return found

    def note_first(self, now_s: float) -> None:
        """Counts the request in the budget of repeats, once."""
        if self.sent:
            return
        repeats = self._parts.repeats
        if self.standing.is_repeat:
            repeats.note_repeated_call(self.service, now_s)
        else:
            repeats.note_first(self.service, now_s, self.route.name)

    def note_lost(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Takes note that an attempt was lost after it was handed over."""
        self.is_maybe_run = True
        self._has_run = True
        if endpoint is not None:
            self._note_arrival(endpoint)

    def note_failed(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Takes note that an endpoint ran it and failed."""
        self._has_run = True
        if endpoint is not None:
            self._note_arrival(endpoint)

    def note_refused(self, endpoint: endpoint_view.EndpointView | None) -> None:
        """Takes note that the backend server itself refused."""
        if endpoint is not None:
            endpoint.note_acceptance(False)
            self._note_arrival(endpoint)
            self._asked.remove(endpoint.record.endpoint_id)

    def may_repeat(self, now_s: float) -> bool:
        """True if a request that may have run is sent once more."""
        return (
            self.route.is_idempotent
            and not self.is_streamed
            and self._may_arrive_again(
                now_s, self.route.attempts, self.route.name
            )
        )

    def may_ask_again(self, now_s: float) -> bool:
        """True if a refusal of a backend server is met by one more try.

        What was refused has made no calls, so it needs none of the budget of
        trees.
        """
        return not self.is_streamed and self._may_arrive_again(
            now_s, MOST_REFUSED, ""
        )

    def _note_arrival(self, endpoint: endpoint_view.EndpointView) -> None:
        self._arrived.add(endpoint.record.endpoint_id)
        self._arrivals += 1

    def _may_arrive_again(self, now_s: float, most: int, route: str) -> bool:
        if self._arrivals >= most:
            return False
        wish = repeat_budget.RepeatCandidate(
            self.service, self.standing.rank, route
        )
        if not self._parts.repeats.take(wish, now_s):
            return False
        self._parts.meters.repeats.labels(self.service).inc()
        return True
