"""A choice of an endpoint that is explained and changes nothing.

The choice is that of `EndpointSet` itself, made on a copy of its state. The
arguments and the result of each step are recorded.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import NamedTuple

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_verdict
from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.endpoints import explained_endpoint
from cranberrymux.decisions.endpoints import power_of_two
from cranberrymux.decisions.endpoints import recorded_view
from cranberrymux.models import endpoint_state

_Verdict = endpoint_verdict.EndpointVerdict


class _Draw(NamedTuple):
    """Endpoints of a zone, those drawn from them, and the cheaper of these."""

    endpoints: list[endpoint_view.EndpointView]
    drawn: list[endpoint_view.EndpointView]
    found: endpoint_view.EndpointView | None


class RecordedEndpoints(endpoint_set.EndpointSet):
    """Copy of an endpoint set that records one choice.

    Attributes:
        service: The service that an endpoint was chosen of; empty before.
        chosen: The endpoint that was chosen; None for none.
    """

    def __init__(
        self,
        source: endpoint_set.EndpointSet,
        services: Iterable[str],
        generator: random.Random,
    ) -> None:
        """Copies what is known of some services.

        Args:
            source: The endpoint set; it is not changed.
            services: Names of the services.
            generator: Random generator in the state of that of the source.
        """
        names = tuple(services)
        super().__init__(source._node_id, source._zone, generator)
        self.zones = source.zones.copy_services(names, generator)
        self._service_of = dict(source._service_of)
        self._views: dict[str, dict[str, recorded_view.RecordedView]] = {
            service: {
                endpoint_id: recorded_view.RecordedView(view)
                for endpoint_id, view in source._services.get(
                    service, {}
                ).items()
            }
            for service in names
        }
        self._services = {
            service: dict(views) for service, views in self._views.items()
        }
        for service in names:
            subset = source._subsets.get(service)
            if subset is not None:
                # In the same order, on which the draws depend.
                self._subsets[service] = [
                    self._services[service][view.record.endpoint_id]
                    for view in subset
                ]
        self.service = ""
        self.chosen: endpoint_view.EndpointView | None = None
        self._available: list[endpoint_view.EndpointView] | None = None
        self._draws: list[_Draw] = []
        self._explained: list[explained_endpoint.ExplainedEndpoint] = []

    @property
    def own_zone(self) -> str:
        """Availability zone of this node."""
        return self._zone

    def choose(
        self,
        service: str,
        now_s: float,
        tried: Collection[str],
        allowed: Collection[str] | None = None,
        *,
        stays: bool = False,
    ) -> endpoint_view.EndpointView | None:
        """Chooses as `EndpointSet` does, and explains it.

        The explanation is made at once, as the request counts afterwards.
        """
        self.service = service
        self.chosen = super().choose(
            service, now_s, tried, allowed, stays=stays
        )
        self._explained = self._explain(service, now_s)
        return self.chosen

    def note_sent(
        self, endpoint: endpoint_view.EndpointView, now_s: float
    ) -> None:
        """Does nothing, as nothing is sent."""

    def explain(
        self, service: str, now_s: float
    ) -> list[explained_endpoint.ExplainedEndpoint]:
        """Explains each endpoint of a service, the chosen one first.

        Args:
            service: Name of the service.
            now_s: Monotonic time in seconds; that of the choice counts for
                the service that it was made of.
        """
        if service == self.service:
            return self._explained
        return self._explain(service, now_s)

    def _explain(
        self, service: str, now_s: float
    ) -> list[explained_endpoint.ExplainedEndpoint]:
        views = sorted(
            self._views.get(service, {}).values(),
            key=lambda view: (
                view is not self.chosen,
                view.record.zone,
                view.record.endpoint_id,
            ),
        )
        explained = []
        for view in views:
            verdict, detail = self._judge(view, now_s)
            explained.append(
                explained_endpoint.ExplainedEndpoint(
                    view.record.endpoint_id,
                    view.record.zone,
                    verdict,
                    detail,
                    view.describe(now_s),
                )
            )
        return explained

    # Steps of the choice, which are recorded.

    def _choose_by_zone(
        self,
        service: str,
        available: list[endpoint_view.EndpointView],
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        self._available = available
        return super()._choose_by_zone(
            service, available, now_s, refusals, stays
        )

    def _choose_cheaper_of_two(
        self, endpoints: list[endpoint_view.EndpointView], now_s: float
    ) -> endpoint_view.EndpointView | None:
        drawn = power_of_two.draw(endpoints, self._generator)
        found = power_of_two.find_cheaper(drawn, now_s)
        if endpoints:
            self._draws.append(_Draw(endpoints, drawn, found))
        return found

    # Verdicts on endpoints.

    def _judge(
        self, view: recorded_view.RecordedView, now_s: float
    ) -> tuple[_Verdict, str]:
        if view is self.chosen:
            return _Verdict.CHOSEN, self._describe_choice(view, now_s)
        if self._available is not None and view in self._available:
            return self._judge_available(view, now_s)
        obstacle = _find_obstacle(view, now_s)
        if obstacle is not None:
            return obstacle
        if self.chosen is None:
            return _Verdict.NOT_ASKED, "no endpoint is chosen"
        return (
            _Verdict.OUTSIDE_SUBSET,
            "not among the endpoints that this node prefers",
        )

    def _judge_available(
        self, view: recorded_view.RecordedView, now_s: float
    ) -> tuple[_Verdict, str]:
        assert self.chosen is not None
        zone = self.chosen.record.zone
        for draw in self._draws:
            if view is draw.found:
                return (
                    _Verdict.OTHER_ZONE,
                    f"would wait here; goes to zone {zone} beyond its share",
                )
            if view in draw.drawn and draw.found is not None:
                cost = view.cost(now_s)
                other = draw.found.cost(now_s)
                return (
                    _Verdict.NOT_CHEAPER,
                    f"cost {cost:.3f}, that of "
                    f"{draw.found.record.endpoint_id} is {other:.3f}",
                )
            if view in draw.endpoints:
                return _Verdict.NOT_DRAWN, "not among the two drawn at random"
        if view.record.zone == self._zone and view.is_failing(now_s):
            rate = view.failure_rate(now_s)
            return _Verdict.FAILING, f"fails {rate:.2f} of its requests"
        return _Verdict.OTHER_ZONE, f"the request goes to zone {zone}"

    def _describe_choice(
        self, view: recorded_view.RecordedView, now_s: float
    ) -> str:
        if view.is_suspended(now_s):
            return "drawn at random, as all are suspended"
        draw = self._draws[-1] if self._draws else None
        if draw is None:
            return "the only one that takes requests"
        if len(draw.drawn) < 2:
            return f"the only one of zone {view.record.zone}"
        (other,) = (each for each in draw.drawn if each is not view)
        return (
            f"cost {view.cost(now_s):.3f}, that of "
            f"{other.record.endpoint_id} is {other.cost(now_s):.3f}"
        )


def _find_obstacle(
    view: recorded_view.RecordedView, now_s: float
) -> tuple[_Verdict, str] | None:
    """Returns what keeps all requests from an endpoint; None for nothing."""
    if not view.is_usable:
        return _judge_unusable(view)
    if view.is_suspended(now_s):
        left_s = view.describe(now_s).suspended_s
        return _Verdict.SUSPENDED, f"suspended for {left_s:.1f} s more"
    if view.is_ejected(now_s):
        rate = view.failure_rate(now_s)
        return _Verdict.EJECTED, f"fails {rate:.2f} of its requests"
    if not view.has_room(now_s):
        per_s = view.rate_limit.per_s
        return (
            _Verdict.RATE_LIMITED,
            f"its limit of {per_s:g} a second leaves no room",
        )
    return None


def _judge_unusable(
    view: endpoint_view.EndpointView,
) -> tuple[_Verdict, str]:
    state = view.record.state
    if state is not endpoint_state.EndpointState.SERVING:
        return _Verdict.NOT_SERVING, f"it is {state.name.lower()}"
    if view.is_leaving:
        return _Verdict.LEAVING, "its backend server says that it leaves"
    return (
        _Verdict.UNREACHABLE,
        "unreachable, and a control instance reports it as gone",
    )
