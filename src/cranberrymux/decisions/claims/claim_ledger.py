"""Replicated state machine that grants each once-only call to one owner."""

from typing import Any

from cranberrymux.decisions.claims import claim as claim_module
from cranberrymux.decisions.claims import claim_answer
from cranberrymux.decisions.claims import claim_codec
from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import claim_verdict
from cranberrymux.decisions.claims import request_id_time
from cranberrymux.decisions.claims import settlement

FULL_RETRY_MS = 5000

_State = claim_entry.ClaimState
_Verdict = claim_verdict.ClaimVerdict


class ClaimLedger:
    """Grants claims and keeps them in the order of their grants.

    Every replica applies the same operations with the same times and so
    reaches the same state. Times are Unix milliseconds and never decrease.
    """

    def __init__(self, settings: claim_settings.ClaimSettings) -> None:
        """Creates a ledger without claims.

        Args:
            settings: Ages and limits of claims.

        Raises:
            ValueError: The retention is not longer than the accepted age and
                `MAXIMUM_FUTURE_MS` together.
        """
        shortest_ms = (
            settings.accepted_age_ms + claim_settings.MAXIMUM_FUTURE_MS
        )
        if settings.retention_ms <= shortest_ms:
            raise ValueError(
                "retention_ms must exceed accepted_age_ms + MAXIMUM_FUTURE_MS:"
                " claims would be forgotten before their request ids expire"
            )
        self._settings = settings
        self._entries: dict[tuple[str, str], claim_entry.ClaimEntry] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Returns the number of stored claims."""
        return len(self._entries)

    def find(self, key: tuple[str, str]) -> claim_entry.ClaimEntry | None:
        """Returns the entry of a request id and call id; None if absent."""
        return self._entries.get(key)

    def unknown_outcomes(
        self, limit: int = 100
    ) -> list[claim_entry.ClaimEntry]:
        """Returns calls of unknown outcome, the last granted first.

        Args:
            limit: Most entries returned.
        """
        found = [
            entry
            for entry in reversed(self._entries.values())
            if entry.state is _State.UNKNOWN
        ]
        return found[:limit]

    def claim(
        self, asked: claim_module.Claim, now_ms: int
    ) -> claim_answer.ClaimAnswer:
        """Applies a committed claim.

        Args:
            asked: The claim.
            now_ms: Unix milliseconds.

        Returns:
            `GRANTED` if the owner of the claim may run the call; otherwise
            the state of the call or the reason of the refusal.
        """
        self._drop_expired(now_ms)
        entry = self._entries.get(asked.key)
        if entry is None:
            return self._grant_first(asked, now_ms)
        if entry.state is _State.RELEASED:
            return self._grant_again(asked, entry, now_ms)
        if not _is_same_call(asked, entry.claim):
            return claim_answer.ClaimAnswer(_Verdict.DIGEST_MISMATCH)
        if entry.state is _State.RUNNING:
            return self._join(asked, entry, now_ms)
        return claim_answer.from_entry(entry)

    def settle(
        self, ended: settlement.Settlement, now_ms: int
    ) -> claim_answer.ClaimAnswer:
        """Applies a committed settlement.

        Only the owner that holds the grant changes the state of the call, and
        only while the call is running.

        Args:
            ended: The settlement.
            now_ms: Unix milliseconds.

        Returns:
            The state of the call after the settlement.
        """
        self._drop_expired(now_ms)
        entry = self._entries.get(ended.key)
        if entry is None:
            return self._settle_first(ended, now_ms)
        if entry.state is not _State.RUNNING or not _holds_grant(ended, entry):
            return claim_answer.from_entry(entry)
        if ended.status == settlement.STATUS_NOT_RUN:
            return self._release(ended, entry)
        body = ended.body
        if body is not None and not self._has_room(len(body)):
            body = None
        self._stored_bytes += len(body or b"")
        settled = entry._replace(
            state=_State.SETTLED, status=ended.status, body=body
        )
        self._entries[ended.key] = settled
        return claim_answer.from_entry(settled)

    def abandon(
        self, key: tuple[str, str], owner: str, owner_incarnation: int
    ) -> bool:
        """Marks a running call as of unknown outcome, as its owner has ended.

        Args:
            key: Request id and call id.
            owner: Node that has ended.
            owner_incarnation: Start time of that node in Unix milliseconds.

        Returns:
            True if the state has changed; False if the call is not running or
            has another owner.
        """
        entry = self._entries.get(key)
        if entry is None or entry.state is not _State.RUNNING:
            return False
        if entry.claim.owner != owner:
            return False
        if entry.claim.owner_incarnation != owner_incarnation:
            return False
        self._entries[key] = entry._replace(state=_State.UNKNOWN)
        return True

    def entries(self) -> tuple[claim_entry.ClaimEntry, ...]:
        """Returns all entries in the order of their grants."""
        return tuple(self._entries.values())

    def dump(self) -> list[list[Any]]:
        """Returns the whole state as values that JSON can hold."""
        return claim_codec.dump_entries(self.entries())

    def restore(self, state: list[list[Any]]) -> None:
        """Replaces the state by one returned by `dump`."""
        entries = claim_codec.load_entries(state)
        self._entries = {entry.claim.key: entry for entry in entries}
        self._stored_bytes = sum(len(entry.body or b"") for entry in entries)

    def _grant_first(
        self, asked: claim_module.Claim, now_ms: int
    ) -> claim_answer.ClaimAnswer:
        refused = self._refuse_new(asked.request_id, now_ms)
        return refused or self._grant(asked, now_ms)

    def _settle_first(
        self, ended: settlement.Settlement, now_ms: int
    ) -> claim_answer.ClaimAnswer:
        """Applies a settlement of a call that has no entry.

        A release that arrives before its claim is stored as a released entry,
        so that the late claim is not granted.
        """
        if ended.status != settlement.STATUS_NOT_RUN or not ended.claim_id:
            return claim_answer.ClaimAnswer(_Verdict.EXPIRED)
        refused = self._refuse_new(ended.request_id, now_ms)
        if refused is not None:
            return refused
        released = claim_module.Claim(
            ended.request_id,
            ended.call_id,
            "",
            ended.owner,
            ended.owner_incarnation,
            "",
            ended.claim_id,
        )
        self._entries[ended.key] = claim_entry.ClaimEntry(
            released, now_ms, _State.RELEASED
        )
        return claim_answer.ClaimAnswer(_Verdict.UNAVAILABLE)

    def _refuse_new(
        self, request_id: str, now_ms: int
    ) -> claim_answer.ClaimAnswer | None:
        """Returns the refusal of a call without an entry; None if allowed."""
        created_ms = request_id_time.created_ms(request_id)
        if created_ms is None:
            return claim_answer.ClaimAnswer(_Verdict.EXPIRED)
        if created_ms < now_ms - self._settings.accepted_age_ms:
            return claim_answer.ClaimAnswer(_Verdict.EXPIRED)
        if created_ms > now_ms + claim_settings.MAXIMUM_FUTURE_MS:
            return claim_answer.ClaimAnswer(_Verdict.EXPIRED)
        if len(self._entries) >= self._settings.maximum_claims:
            return claim_answer.ClaimAnswer(
                _Verdict.UNAVAILABLE, retry_after_ms=FULL_RETRY_MS
            )
        return None

    def _grant_again(
        self,
        asked: claim_module.Claim,
        entry: claim_entry.ClaimEntry,
        now_ms: int,
    ) -> claim_answer.ClaimAnswer:
        """Answers a claim to a call that was released."""
        if asked.claim_id and asked.claim_id == entry.claim.claim_id:
            # A late duplicate of the claim that was released.
            return claim_answer.ClaimAnswer(_Verdict.UNAVAILABLE)
        del self._entries[asked.key]
        return self._grant(asked, now_ms)

    def _grant(
        self, asked: claim_module.Claim, now_ms: int
    ) -> claim_answer.ClaimAnswer:
        self._entries[asked.key] = claim_entry.ClaimEntry(asked, now_ms)
        return claim_answer.ClaimAnswer(_Verdict.GRANTED, owner=asked.owner)

    def _join(
        self,
        asked: claim_module.Claim,
        entry: claim_entry.ClaimEntry,
        now_ms: int,
    ) -> claim_answer.ClaimAnswer:
        """Answers a further claim to a call that is running."""
        if asked.claim_id and asked == entry.claim:
            return claim_answer.ClaimAnswer(_Verdict.GRANTED, owner=asked.owner)
        is_overdue = now_ms - entry.granted_ms > self._settings.running_ms
        has_restarted = (
            asked.owner == entry.claim.owner
            and asked.owner_incarnation > entry.claim.owner_incarnation
        )
        if is_overdue or has_restarted:
            entry = entry._replace(state=_State.UNKNOWN)
            self._entries[asked.key] = entry
        return claim_answer.from_entry(entry)

    def _release(
        self, ended: settlement.Settlement, entry: claim_entry.ClaimEntry
    ) -> claim_answer.ClaimAnswer:
        if not ended.claim_id:
            return claim_answer.from_entry(entry)
        self._entries[ended.key] = entry._replace(state=_State.RELEASED)
        return claim_answer.ClaimAnswer(_Verdict.UNAVAILABLE)

    def _drop_expired(self, now_ms: int) -> None:
        oldest_kept_ms = now_ms - self._settings.retention_ms
        while self._entries:
            key, oldest = next(iter(self._entries.items()))
            if oldest.granted_ms >= oldest_kept_ms:
                return
            del self._entries[key]
            self._stored_bytes -= len(oldest.body or b"")

    def _has_room(self, body_bytes: int) -> bool:
        if body_bytes > self._settings.maximum_body_bytes:
            return False
        maximum = self._settings.maximum_stored_bytes
        return self._stored_bytes + body_bytes <= maximum


def _is_same_call(asked: claim_module.Claim, known: claim_module.Claim) -> bool:
    return (
        asked.body_digest == known.body_digest
        and asked.principal == known.principal
    )


def _holds_grant(
    ended: settlement.Settlement, entry: claim_entry.ClaimEntry
) -> bool:
    return (
        ended.owner == entry.claim.owner
        and ended.owner_incarnation == entry.claim.owner_incarnation
        and ended.claim_id == entry.claim.claim_id
    )
