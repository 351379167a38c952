"""Service times and reported load of a stand-in, adjustable at run time."""

import collections
import json
import random
from typing import Any

from cranberrymux.standin import standin_settings

NUMERIC_KEYS = ("service_time_ms", "service_time_spread", "load_bias")


class Behaviour:
    """Draws service times and reports the load of one stand-in.

    Attributes:
        service_time_ms: Mean time that a call holds a slot, without its child
            calls.
        service_time_spread: Share of that mean that is exponentially
            distributed, from 0 to 1; the rest is fixed.
        load_bias: Added to the reported load, from -1 to 1.
    """

    def __init__(
        self, settings: standin_settings.StandinSettings, now_s: float
    ) -> None:
        """Takes the initial values from the settings.

        Args:
            settings: The stand-in's settings.
            now_s: Time of the start of the process, monotonic seconds; the cold
                start is counted from it.
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

    def draw_service_time_s(self, now_s: float) -> float:
        """Draws how long a call that starts now holds its slot, in seconds."""
        mean_ms = self.service_time_ms
        if not mean_ms:
            return 0.0
        drawn_ms = mean_ms * (1 - self.service_time_spread)
        if self.service_time_spread:
            drawn_ms += self._random.expovariate(
                1 / (mean_ms * self.service_time_spread)
            )
        if now_s < self._warm_at_s:
            drawn_ms *= self._settings.cold_factor
        return drawn_ms / 1000

    def record_load(self, now_s: float, load: float) -> None:
        """Adds a load sample and drops samples that the lag has outdated.

        Args:
            now_s: Time of the sample, monotonic seconds.
            load: Share of the slots in use, from 0 to 1.
        """
        oldest_s = now_s - self._settings.load_lag_ms / 1000
        self._loads.append((now_s, load))
        while len(self._loads) > 1 and self._loads[1][0] <= oldest_s:
            self._loads.popleft()

    def reported_load(self) -> float:
        """Returns the lagged load plus the bias, clipped to 0 to 1."""
        load = self._loads[0][1] if self._loads else 0.0
        return min(1.0, max(0.0, load + self.load_bias))

    def change(self, body: bytes) -> str:
        """Sets the values that a JSON body names.

        Args:
            body: A JSON object; its keys are those of `NUMERIC_KEYS`, and
                `crash` and `drain`, which the caller carries out.

        Returns:
            An empty string, or an error message; nothing is set after an
            error.
        """
        try:
            values = json.loads(body)
        except ValueError:
            return "body: expected JSON"
        if not isinstance(values, dict):
            return "body: expected a JSON object"
        for name, value in values.items():
            if error := _find_error(name, value):
                return error
        for name in NUMERIC_KEYS:
            if name in values:
                setattr(self, name, float(values[name]))
        return ""


def _find_error(name: str, value: Any) -> str:
    if name in ("crash", "drain"):
        return (
            "" if isinstance(value, bool) else f"{name}: expected true or false"
        )
    if name not in NUMERIC_KEYS:
        return f"{name}: unknown key"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return f"{name}: expected a number"
    minimum = -1 if name == "load_bias" else 0
    if value < minimum or (name != "service_time_ms" and value > 1):
        return f"{name}: the number is out of range"
    return ""
