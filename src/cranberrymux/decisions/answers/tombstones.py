"""Refuses late arrivals of attempts that were answered as not run."""

import collections
import math

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import vouch
from cranberrymux.decisions.answers import vouch_verdict

_Verdict = vouch_verdict.VouchVerdict


class Tombstones:
    """Knows, at a callee's node, what was handed over and what must not be.

    `hand_over` is the one gate before the first byte goes to the backend
    server. Memory is bounded and aged: what was forgotten of hand-overs
    shortens `covered_s`, and without room for a tombstone nothing is vouched.
    """

    def __init__(
        self,
        now_s: float,
        incarnation: int,
        settings: tombstone_settings.TombstoneSettings,
    ) -> None:
        """Starts without memory.

        Args:
            now_s: Monotonic seconds.
            incarnation: Incarnation of the node.
            settings: Bounds.
        """
        self._incarnation = incarnation
        self._settings = settings
        self._complete_since_s = now_s
        self._handed: collections.OrderedDict[attempt_key.AttemptKey, float] = (
            collections.OrderedDict()
        )
        self._refused: collections.OrderedDict[
            attempt_key.AttemptKey, float
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Number of attempts remembered."""
        return len(self._handed) + len(self._refused)

    def hand_over(self, now_s: float, key: attempt_key.AttemptKey) -> bool:
        """Asks to hand an attempt to the backend server, just before that.

        Returns:
            False if a tombstone stands; the attempt may not run.
        """
        self._expire(now_s)
        if key in self._refused:
            return False
        if len(self._handed) >= self._settings.handed_maximum:
            self._forget_first_handed()
        self._handed[key] = now_s
        self._handed.move_to_end(key)
        return True

    def is_refused(self, now_s: float, key: attempt_key.AttemptKey) -> bool:
        """True if a tombstone stands; lets a node refuse before it queues."""
        self._expire(now_s)
        return key in self._refused

    def refuse(self, now_s: float, key: attempt_key.AttemptKey) -> vouch.Vouch:
        """Writes a tombstone for an attempt, unless it was handed over.

        Args:
            now_s: Monotonic seconds.
            key: The attempt that its caller's node lost touch with.

        Returns:
            What the caller's node may conclude.
        """
        self._expire(now_s)
        verdict = _Verdict.REFUSED
        if key in self._handed:
            verdict = _Verdict.HANDED_OVER
        elif key in self._refused:
            self._refused.move_to_end(key)
            self._refused[key] = now_s
        elif len(self._refused) >= self._settings.refused_maximum:
            verdict = _Verdict.CANNOT_VOUCH
        else:
            self._refused[key] = now_s
        covered_s = now_s - self._complete_since_s
        return vouch.Vouch(verdict, self._incarnation, covered_s)

    def _expire(self, now_s: float) -> None:
        settings = self._settings
        while _first_s(self._handed) <= now_s - settings.handed_age_s:
            self._forget_first_handed()
        while _first_s(self._refused) <= now_s - settings.refused_age_s:
            self._refused.popitem(last=False)

    def _forget_first_handed(self) -> None:
        _, handed_s = self._handed.popitem(last=False)
        self._complete_since_s = max(self._complete_since_s, handed_s)


def _first_s(
    table: collections.OrderedDict[attempt_key.AttemptKey, float],
) -> float:
    return next(iter(table.values()), math.inf)
