"""How a stand-in behaves; operators of a demo change it at run time."""

import collections
import json
import random
from typing import Any

from cranberrymux.standin import standin_settings

NUMBERS = ("service_time_ms", "service_time_spread", "load_bias")


class Behaviour:
    """Service times and load of one stand-in.

    Attributes:
        service_time_ms: Mean time that a call holds a slot.
        service_time_spread: Share of that time that is exponential.
        load_bias: Added to the load told.
    """

    def __init__(
        self, settings: standin_settings.StandinSettings, now_s: float
    ) -> None:
        """Takes the first values from the settings.

        Args:
            settings: The stand-in's settings.
            now_s: Start of the process, monotonic seconds.
        """
        self.service_time_ms = float(settings.service_time_ms)
        self.service_time_spread = float(settings.service_time_spread)
        self.load_bias = float(settings.load_bias)
        self._settings = settings
        self._warm_at_s = now_s + settings.cold_start_ms / 1000
        self._random = random.Random(settings.seed)
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def service_time_s(self, now_s: float) -> float:
        """Draws the time that a call which starts now holds its slot."""
        mean_ms = self.service_time_ms
        if not mean_ms:
            return 0.0
        time_ms = mean_ms * (1 - self.service_time_spread)
        if self.service_time_spread:
            time_ms += self._random.expovariate(
                1 / (mean_ms * self.service_time_spread)
            )
        if now_s < self._warm_at_s:
            time_ms *= self._settings.cold_factor
        return time_ms / 1000

    def record_load(self, now_s: float, load: float) -> None:
        """Keeps a load sample, and drops those older than the lag."""
        oldest_s = now_s - self._settings.load_lag_ms / 1000
        self._loads.append((now_s, load))
        while len(self._loads) > 1 and self._loads[1][0] <= oldest_s:
            self._loads.popleft()

    def told_load(self) -> float:
        """Gives the load as told: lagging, biased, from 0 to 1."""
        load = self._loads[0][1] if self._loads else 0.0
        return min(1.0, max(0.0, load + self.load_bias))

    def change(self, body: bytes) -> str:
        """Takes new values from a JSON body.

        Args:
            body: A JSON object with any of the names in `NUMBERS`.

        Returns:
            An empty text, or what is wrong; then nothing was changed.
        """
        try:
            values = json.loads(body)
        except ValueError:
            return "the body must be JSON"
        if not isinstance(values, dict):
            return "the body must be a JSON object"
        for name, value in values.items():
            if error := _check(name, value):
                return error
        for name in NUMBERS:
            if name in values:
                setattr(self, name, float(values[name]))
        return ""


def _check(name: str, value: Any) -> str:
    if name in ("crash", "drain"):
        return "" if isinstance(value, bool) else f"{name} must be a flag"
    if name not in NUMBERS:
        return f"unknown key {name}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return f"{name} must be a number"
    lowest = -1 if name == "load_bias" else 0
    if value < lowest or (name != "service_time_ms" and value > 1):
        return f"{name} is out of range"
    return ""
