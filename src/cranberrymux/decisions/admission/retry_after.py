"""When a refused caller may come back."""

import random

from cranberrymux.decisions.admission import admission_settings

SPARE_SHARE = 0.25  # Share of the capacity that returning calls may fill.


class RetryAfter:
    """Spreads the return of refused calls over the spare capacity.

    Each refusal books a place at the spare rate. The time to come back is
    drawn evenly up to the last booked place, so that calls refused together
    do not return together.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Starts with nothing booked."""
        self._minimum_s = settings.minimum_retry_after_ms / 1000
        self._maximum_s = settings.maximum_retry_after_ms / 1000
        self._generator = generator
        self._booked_until_s = float("-inf")

    def draw_ms(self, now_s: float, capacity_per_s: float) -> int:
        """Books a return.

        Args:
            now_s: Monotonic seconds.
            capacity_per_s: Calls a second that the endpoint can finish.

        Returns:
            Milliseconds until the caller may come back.
        """
        place_s = 1.0 / max(SPARE_SHARE * capacity_per_s, 0.001)
        booked_s = max(self._booked_until_s, now_s + self._minimum_s) + place_s
        self._booked_until_s = min(booked_s, now_s + self._maximum_s)
        spread_s = self._booked_until_s - now_s - self._minimum_s
        spread_s = max(spread_s, self._minimum_s)
        return int(
            1000 * (self._minimum_s + spread_s * self._generator.random())
        )
