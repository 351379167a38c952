"""For how long a node may accept the keys that it knows.

Guards against keys that were taken away while the node was cut off, frozen or
restarting. A node that cannot hear of a newer configuration stops accepting
keys before the time at which a taken key must not run any more.
"""

import math


class KeyLease:
    """A lease that each confirmation of the newest configuration renews."""

    def __init__(self, lifetime_s: float) -> None:
        """Starts without a lease.

        Args:
            lifetime_s: Seconds for which a confirmation holds; infinite if
                accepted keys need no confirmation.
        """
        self._lifetime_s = lifetime_s
        self._valid_until_s = -math.inf

    def confirm(self, asked_at_s: float) -> None:
        """Renews the lease.

        Args:
            asked_at_s: Seconds at which the node sent the question whose answer
                confirmed that its configuration is the newest. A configuration
                that was accepted before is part of that answer. The clock must
                also count the time for which the instance is suspended.
        """
        self._valid_until_s = max(
            self._valid_until_s, asked_at_s + self._lifetime_s
        )

    def is_valid(self, now_s: float) -> bool:
        """True while keys may be accepted."""
        return math.isinf(self._lifetime_s) or now_s < self._valid_until_s
