"""Refuses attempts that arrive after they were answered as not run."""

import collections
import math

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import vouch
from cranberrymux.decisions.answers import vouch_verdict

_Verdict = vouch_verdict.VouchVerdict


class Tombstones:
    """Attempts that a callee's node handed over, and those it must refuse.

    A tombstone marks an attempt that must not be handed over to the backend
    server. Every attempt passes `hand_over` before its first byte is sent.
    Both tables are limited in size and age: evicting a hand-over shortens
    `covered_s`, and when the tombstones are full, no further attempt is
    vouched for.
    """

    def __init__(
        self,
        now_s: float,
        incarnation: int,
        settings: tombstone_settings.TombstoneSettings,
    ) -> None:
        """Creates empty tables.

        Args:
            now_s: Monotonic seconds.
            incarnation: Incarnation of this node.
            settings: Retention times and maximum numbers.
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
        """Number of remembered hand-overs and tombstones."""
        return len(self._handed) + len(self._refused)

    def hand_over(self, now_s: float, key: attempt_key.AttemptKey) -> bool:
        """Records the hand-over of an attempt just before it happens.

        Returns:
            False if the attempt has a tombstone and must not be handed over.
        """
        self._expire(now_s)
        if key in self._refused:
            return False
        if len(self._handed) >= self._settings.maximum_handed:
            self._evict_oldest_hand_over()
        self._handed[key] = now_s
        self._handed.move_to_end(key)
        return True

    def is_refused(self, now_s: float, key: attempt_key.AttemptKey) -> bool:
        """True if the attempt has a tombstone, so need not be queued."""
        self._expire(now_s)
        return key in self._refused

    def refuse(self, now_s: float, key: attempt_key.AttemptKey) -> vouch.Vouch:
        """Adds a tombstone for an attempt unless it was handed over.

        Args:
            now_s: Monotonic seconds.
            key: The attempt whose answer the caller's node lost.

        Returns:
            The verdict for the caller's node.
        """
        self._expire(now_s)
        verdict = _Verdict.REFUSED
        if key in self._handed:
            verdict = _Verdict.HANDED_OVER
        elif key in self._refused:
            self._refused.move_to_end(key)
            self._refused[key] = now_s
        elif len(self._refused) >= self._settings.maximum_refused:
            verdict = _Verdict.CANNOT_VOUCH
        else:
            self._refused[key] = now_s
        covered_s = now_s - self._complete_since_s
        return vouch.Vouch(verdict, self._incarnation, covered_s)

    def _expire(self, now_s: float) -> None:
        settings = self._settings
        while _oldest_s(self._handed) <= now_s - settings.handed_age_s:
            self._evict_oldest_hand_over()
        while _oldest_s(self._refused) <= now_s - settings.refused_age_s:
            self._refused.popitem(last=False)

    def _evict_oldest_hand_over(self) -> None:
        _, handed_s = self._handed.popitem(last=False)
        self._complete_since_s = max(self._complete_since_s, handed_s)


def _oldest_s(
    table: collections.OrderedDict[attempt_key.AttemptKey, float],
) -> float:
    return next(iter(table.values()), math.inf)
