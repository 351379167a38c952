"""Scenarios with a temporary cause of overload."""

from typing import NamedTuple


class Scenario(NamedTuple):
    """A run with a cause of overload from `begins_s` to `ends_s`.

    Attributes:
        name: Name in the figures.
        normal_rate: Request rate before and after the cause, as a share of
            the deployment's capacity.
        cause_rate: Request rate during the cause, as the same share.
        slow_factor: Factor on the time of work of the deepest service during
            the cause.
        resends: True if clients resend requests that failed, unless the
            refusal is final.
        has_false_load_hints: True if the reported loads are outdated, and a
            third of the endpoints always report 0.0, another third 1.0.
        has_poison: True if a request is sent that crashes the backend servers
            of the deepest service.
        restarts: True if a third of the endpoints of each service restart
            when the cause begins.
        begins_s: Virtual seconds at which the cause begins.
        ends_s: Virtual seconds at which the cause ends.
        run_s: Virtual seconds at which the run ends.
        timeout_s: Seconds that a client waits for an answer to each send.
    """

    name: str
    normal_rate: float = 0.8
    cause_rate: float = 0.8
    slow_factor: float = 1.0
    resends: bool = False
    has_false_load_hints: bool = False
    has_poison: bool = False
    restarts: bool = False
    begins_s: float = 3.0
    ends_s: float = 8.0
    run_s: float = 14.0
    timeout_s: float = 2.0

    def is_during_cause(self, now_s: float) -> bool:
        """Returns whether the cause lasts at a time."""
        return self.begins_s <= now_s < self.ends_s

    def get_rate(self, now_s: float) -> float:
        """Returns the request rate at a time, as a share of capacity."""
        return (
            self.cause_rate if self.is_during_cause(now_s) else self.normal_rate
        )


SLOW_SERVICE = Scenario("slow-deep-service", cause_rate=1.0, slow_factor=2.0)
SURGE = Scenario("surge", cause_rate=2.0)
SLOW_SURGE = Scenario(
    "slow-surge-resends",
    cause_rate=2.0,
    slow_factor=2.0,
    resends=True,
)
FALSE_LOAD_HINTS = Scenario(
    "lying-load-endpoints", cause_rate=2.0, has_false_load_hints=True
)
POISON = Scenario("poison", has_poison=True, resends=True)
RESTART = Scenario("cold-restart", restarts=True)

SCENARIOS = (
    SLOW_SERVICE,
    SURGE,
    SLOW_SURGE,
    FALSE_LOAD_HINTS,
    POISON,
    RESTART,
)
