"""The causes of overload that are tried."""

from typing import NamedTuple


class Scenario(NamedTuple):
    """One cause, from `begins_s` to `ends_s`.

    Attributes:
        name: Its name in the figures.
        normal_rate: Load outside of the cause, as a share of capacity.
        cause_rate: Load during the cause.
        slow_factor: How much slower the deepest service is during the cause.
        resends_hard: True if clients send again at once, whatever they hear.
        hints_lie: True if load endpoints lag, and some always say idle or
            always say full.
        has_poison: True if one request crashes the deepest service.
        restarts: True if a third of all endpoints restart when it begins.
        begins_s: Start of the cause.
        ends_s: End of the cause.
        run_s: End of the run.
        timeout_s: How long clients wait.
    """

    name: str
    normal_rate: float = 0.8
    cause_rate: float = 0.8
    slow_factor: float = 1.0
    resends_hard: bool = False
    hints_lie: bool = False
    has_poison: bool = False
    restarts: bool = False
    begins_s: float = 3.0
    ends_s: float = 8.0
    run_s: float = 14.0
    timeout_s: float = 2.0

    def is_on(self, now_s: float) -> bool:
        """True during the cause."""
        return self.begins_s <= now_s < self.ends_s

    def get_rate(self, now_s: float) -> float:
        """Load at a time, as a share of capacity."""
        return self.cause_rate if self.is_on(now_s) else self.normal_rate


SLOW = Scenario("slow-deep-service", cause_rate=1.0, slow_factor=2.0)
SURGE = Scenario("surge", cause_rate=2.0)
BOTH = Scenario(
    "slow-surge-resends",
    cause_rate=2.0,
    slow_factor=2.0,
    resends_hard=True,
)
LIES = Scenario("lying-load-endpoints", cause_rate=2.0, hints_lie=True)
POISON = Scenario("poison", has_poison=True, resends_hard=True)
RESTART = Scenario("cold-restart", restarts=True)

SCENARIOS = (SLOW, SURGE, BOTH, LIES, POISON, RESTART)
