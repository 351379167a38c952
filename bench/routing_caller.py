"""Router with endpoints and calls to it, for measuring the cost of a call."""

import random

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router as router_module
from cranberrymux.decisions.routing import router_settings
from cranberrymux.decisions.selectors import parser
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import request_context

AFTER_SLOW_START_S = 1000.0
CONTEXT = request_context.RequestContext(
    "0190b4c2-7f3e-7abc-8def-0123456789ab", "1.2", "ann b", 900, 1, 5, 3, 1
)


def make_records(
    service: str, count: int
) -> list[endpoint_record.EndpointRecord]:
    """Returns records of a service's endpoints in 3 availability zones."""
    return [
        endpoint_record.EndpointRecord(
            service=service,
            endpoint_id=f"{service}-{number}",
            incarnation=1,
            sequence=1,
            address="127.0.0.1",
            port=1000 + number,
            region="r",
            zone=f"z{number % 3}",
            labels={"store": "a"},
            slots=50,
            state=endpoint_state.EndpointState.SERVING,
        )
        for number in range(count)
    ]


def make_router(services: int, endpoints: int) -> router_module.Router:
    """Returns a router that knows endpoints of several services.

    Args:
        services: Number of services, named s0, s1 and so on.
        endpoints: Number of endpoints of each service.
    """
    router = router_module.Router(
        router_settings.RouterSettings(region="r", zone="z0"),
        random.Random(1),
    )
    for number in range(services):
        name = f"s{number}"
        router.update_endpoints(0.0, name, make_records(name, endpoints))
    return router


class Caller:
    """Makes calls through a router to each of its services in turn.

    Attributes:
        router: The router under measurement.
        now_s: Simulated time in seconds, at which every endpoint has passed
            its slow start; 10 us are added per call.
    """

    def __init__(self, services: int, endpoints: int) -> None:
        """Creates the router and makes one call to each service.

        Args:
            services: Number of services, 1 or more.
            endpoints: Number of endpoints of each service.
        """
        self.router = make_router(services, endpoints)
        self.now_s = AFTER_SLOW_START_S
        self._services = services
        self._call_count = 0
        self._sequence = 1
        place = parser.parse("store = a")
        assert isinstance(place, selector.Selector)
        self._place = place
        for _ in range(services):
            self.make_call()

    def make_call(self) -> None:
        """Makes one call: chooses an endpoint and reports start and end."""
        self._call_count += 1
        self.now_s += 1e-5
        name = f"s{self._call_count % self._services}"
        chosen = self.router.choose(self.now_s, name, CONTEXT, self._place)
        assert isinstance(chosen, endpoint_record.EndpointRecord)
        self.router.call_started(self.now_s, chosen.endpoint_id)
        self.router.call_finished(
            self.now_s,
            chosen.endpoint_id,
            outcome.Outcome.DONE,
            0.005,
            900,
            load=0.3,
        )

    def report_low_levels(self) -> None:
        """Reports a level below the calls' priority for service s0.

        All of its endpoints, of which there must be 10, then refuse the calls.
        """
        for record in make_records("s0", 10):
            self.router.call_finished(
                self.now_s,
                record.endpoint_id,
                outcome.Outcome.REFUSED,
                0.001,
                10,
            )

    def update_and_call(self) -> None:
        """Applies a newer record of one endpoint, then makes a call."""
        name = f"s{self._call_count % self._services}"
        self._sequence += 1
        record = make_records(name, 1)[0]._replace(sequence=self._sequence)
        self.router.update_endpoints(self.now_s, name, [record])
        self.make_call()

    def make_refused_call(self) -> None:
        """Makes a call to service s0 that the router refuses, or probes with.

        `report_low_levels` must have been called before.
        """
        self.router.choose(self.now_s, "s0", CONTEXT, self._place)
