"""The rate limit of one backend server, as its answers name it.

Answers arrive in another order than they were made. An answer to a request
that was sent after another answer had arrived is the later one of the two; of
any others the order is unknown, and the stricter one counts.
"""

import math

from cranberrymux.decisions.rate_limits import limit_source


class KnownRateLimit:
    """The rate limit in force for one process of a backend server.

    Attributes:
        per_s: Requests a second; None without a limit.
        since_s: Monotonic seconds of the last change; -inf before the first.
        source: Where the limit is from; None before any information.
    """

    __slots__ = ("_named_at_s", "per_s", "since_s", "source")

    def __init__(self) -> None:
        """Starts without any information."""
        self.per_s: float | None = None
        self.since_s = -math.inf
        self._named_at_s = -math.inf
        self.source: limit_source.LimitSource | None = None

    def note_answer(
        self,
        per_s: float | None,
        sent_s: float,
        now_s: float,
        source: limit_source.LimitSource = limit_source.LimitSource.ANSWER,
    ) -> bool:
        """Applies an answer of the backend server.

        Args:
            per_s: Limit that it names; None if it names none.
            sent_s: Monotonic seconds at which its request was sent.
            now_s: Monotonic seconds at which the answer arrived.
            source: What the answer was to.

        Returns:
            True if the limit changed.
        """
        is_stricter = per_s is not None and (
            self.per_s is None or per_s < self.per_s
        )
        is_other = per_s != self.per_s and not is_stricter
        if is_other and sent_s < self._named_at_s:
            return False
        return self._apply(per_s, now_s, source)

    def note_sender(self, per_s: float, now_s: float) -> bool:
        """Applies a limit that another node has learned.

        It counts only until the first answer of the backend server, and of
        several the lowest counts.

        Returns:
            True if the limit changed.
        """
        is_first = self.source is None
        is_lower = (
            self.source is limit_source.LimitSource.SENDER
            and self.per_s is not None
            and per_s < self.per_s
        )
        if not is_first and not is_lower:
            return False
        return self._apply(per_s, now_s, limit_source.LimitSource.SENDER)

    def _apply(
        self,
        per_s: float | None,
        now_s: float,
        source: limit_source.LimitSource,
    ) -> bool:
        is_changed = per_s != self.per_s
        self.source = source
        self.per_s = per_s
        if per_s is not None:
            self._named_at_s = now_s
        if is_changed:
            self.since_s = now_s
        return is_changed
