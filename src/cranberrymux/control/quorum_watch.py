"""Logs when a control instance loses contact with a quorum and regains it."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.consensus import status as status_module


class QuorumWatch:
    """Notices changes of whether this instance vouches for its state.

    While it does not, reads and changes of the configuration are refused. The
    voters that are not heard from tell a lost quorum from a cut.
    """

    def __init__(self) -> None:
        """Starts without contact; the first contact is logged."""
        self._is_vouching = False
        self._changed_at_s: float | None = None
        self._events: Any = structlog.get_logger()

    def update(
        self,
        now_s: float,
        vouched_ms: int,
        read_status: Callable[[float], status_module.Status],
    ) -> None:
        """Logs a change; to be called several times per lease.

        Args:
            now_s: Present time in monotonic seconds.
            vouched_ms: For how long the state is vouched for, milliseconds.
            read_status: Returns the state of the replica at a time.
        """
        is_vouching = vouched_ms > 0
        if is_vouching == self._is_vouching:
            return
        self._is_vouching = is_vouching
        began_s = now_s if self._changed_at_s is None else self._changed_at_s
        self._changed_at_s = now_s
        status = read_status(now_s)
        if is_vouching:
            self._events.info(
                "quorum-heard",
                applied_index=status.applied_index,
                without_s=round(now_s - began_s, 3),
            )
        else:
            self._events.warning(
                "quorum-lost",
                applied_index=status.applied_index,
                voters=sorted(status.members.voters),
                silent_voters=list(status.silent_voters),
            )
