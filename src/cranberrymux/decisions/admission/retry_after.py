"""When a refused caller may retry."""

import random

from cranberrymux.decisions.admission import admission_settings

RETRY_CAPACITY_SHARE = 0.25  # Share of the capacity reserved for retries.


class RetryAfter:
    """Spreads the retries of refused calls over the spare capacity.

    Each refusal reserves a retry slot at the spare rate. The delay is drawn
    uniformly up to the last reserved one, so that calls refused together do
    not retry together.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Starts without reservations."""
        self._minimum_s = settings.minimum_retry_after_ms / 1000
        self._maximum_s = settings.maximum_retry_after_ms / 1000
        self._generator = generator
        self._reserved_until_s = float("-inf")

    def draw_ms(self, now_s: float, capacity_per_s: float) -> int:
        """Reserves a retry and draws its delay.

        Args:
            now_s: Monotonic seconds.
            capacity_per_s: Calls that the endpoint can finish per second.

        Returns:
            Milliseconds until the caller may retry.
        """
        interval_s = 1.0 / max(RETRY_CAPACITY_SHARE * capacity_per_s, 0.001)
        reserved_s = (
            max(self._reserved_until_s, now_s + self._minimum_s) + interval_s
        )
        self._reserved_until_s = min(reserved_s, now_s + self._maximum_s)
        spread_s = self._reserved_until_s - now_s - self._minimum_s
        spread_s = max(spread_s, self._minimum_s)
        return int(
            1000 * (self._minimum_s + spread_s * self._generator.random())
        )
