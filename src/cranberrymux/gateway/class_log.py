"""Log line on the traffic classes that the root admission holds back."""

import math
from typing import Any

from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import traffic_flow

LOG_INTERVAL_S = 1.0  # Minimum time between two lines.
MAXIMUM_LOGGED = 12  # Classes in one line.


class ClassLog:
    """Shows what share of each class may start while some may not."""

    def __init__(
        self, admission: root_admission.RootAdmission, events: Any
    ) -> None:
        """Starts without lines.

        Args:
            admission: Decides which roots may start.
            events: Logger.
        """
        self._admission = admission
        self._next_line_s = -math.inf
        self._events = events

    def note_refusal(self, now_s: float) -> None:
        """Logs the classes, unless that was done less than a second ago."""
        if now_s < self._next_line_s:
            return
        self._next_line_s = now_s + LOG_INTERVAL_S
        held_back = self._admission.list_held_back()
        held_back.sort(key=_get_refused_per_s, reverse=True)
        self._events.info(
            "classes-held-back",
            shares=self._admission.get_service_shares(),
            classes=[_describe(found) for found in held_back[:MAXIMUM_LOGGED]],
            count=len(held_back),
        )


def _get_refused_per_s(found: traffic_flow.HeldBackClass) -> float:
    return (1.0 - found.share) * found.per_s


def _describe(found: traffic_flow.HeldBackClass) -> dict[str, Any]:
    traffic_class = found.traffic_class
    description = {
        "route": traffic_class.route,
        "priority": traffic_class.priority,
        "timing": traffic_class.timing.name.lower().replace("_", "-"),
        "per_s": round(found.per_s, 1),
        "share": round(found.share, 3),
    }
    if traffic_class.account:
        description["account"] = traffic_class.account
    return description
