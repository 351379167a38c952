"""Tells for how long no control instance confirmed the configuration."""

import structlog

# Longer than a control instance needs for an election, with a heartbeat more.
LATE_S = 2.0


class ConfirmationWatch:
    """Age of the last confirmation that the version in force is the newest."""

    def __init__(self, now_s: float) -> None:
        """Starts at the present time in monotonic seconds, unconfirmed."""
        self._confirmed_at_s = now_s
        self._is_late = False
        self._events = structlog.get_logger()

    def confirm(self, asked_at_s: float, version: int) -> None:
        """Records a confirmation.

        Args:
            asked_at_s: When the control instance was asked, monotonic seconds.
            version: The version in force.
        """
        if self._is_late:
            self._is_late = False
            self._events.info(
                "configuration-confirmed",
                version=version,
                without_s=round(asked_at_s - self._confirmed_at_s, 3),
            )
        self._confirmed_at_s = max(self._confirmed_at_s, asked_at_s)

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the last confirmation."""
        return max(0.0, now_s - self._confirmed_at_s)

    def check(self, now_s: float, version: int, connected: int) -> None:
        """Logs once that a confirmation is late.

        Args:
            now_s: Present time in monotonic seconds.
            version: The version in force; 0 for none.
            connected: Number of open connections to control instances.
        """
        if self._is_late or self.age_s(now_s) <= LATE_S:
            return
        self._is_late = True
        self._events.warning(
            "configuration-not-confirmed", version=version, connected=connected
        )
