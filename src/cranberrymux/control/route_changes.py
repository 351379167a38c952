"""Puts documents of routes into the replicated configuration."""

import enum
from typing import NamedTuple

from cranberrymux.control import conversions
from cranberrymux.control import operator_port
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.wire.gen.messages import ttypes

AUTHOR = "operator"


class PutVerdict(enum.Enum):
    """What became of a document."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    ASK_LEADER = "ask-leader"


class PutResult(NamedTuple):
    """The answer to a document.

    Attributes:
        verdict: What became of it.
        detail: One line for people.
    """

    verdict: PutVerdict
    detail: str


class RouteChanges:
    """Checks a document against the one in force and commits it."""

    def __init__(self, parts: operator_port.ControlParts) -> None:
        """Keeps the parts."""
        self._parts = parts

    async def put(
        self,
        asked: route_document.RouteDocument,
        base_label: int | None,
        change_id: str,
    ) -> PutResult:
        """Commits a document.

        Args:
            asked: The document.
            base_label: Label of the document that it builds on; None if the
                operator named none.
            change_id: The same for each resend of one change.
        """
        parts = self._parts
        if not parts.log.vouched_ms():
            return PutResult(PutVerdict.UNAVAILABLE, "no contact with a quorum")
        ledger = parts.machine.configuration
        known = ledger.answer_of(change_id)
        accepted = change_verdict.ChangeVerdict.ACCEPTED
        if known is not None and known.verdict is accepted:
            return PutResult(PutVerdict.ACCEPTED, "accepted before")
        base_version = ledger.version
        refused = self._find_fault(asked, base_label)
        if refused is None:
            return await self._commit(asked, base_version, change_id)
        if parts.log.role() != "leader":
            # Only the leader knows for sure which version is the newest.
            return PutResult(PutVerdict.ASK_LEADER, refused.detail)
        return refused

    def _find_fault(
        self, asked: route_document.RouteDocument, base_label: int | None
    ) -> PutResult | None:
        text = self._parts.machine.configuration.document
        current = route_document.load(text)
        label = 0
        if isinstance(current, route_document.RouteDocument):
            label = current.label
        if base_label != label:
            detail = f"label {label} is in force, not {base_label}"
            return PutResult(PutVerdict.CONFLICT, detail)
        invalid = document_check.check(asked, label)
        if invalid is not None:
            detail = f"{invalid.route_name}: {invalid.detail}"
            return PutResult(PutVerdict.INVALID, detail)
        return None

    async def _commit(
        self,
        asked: route_document.RouteDocument,
        base_version: int,
        change_id: str,
    ) -> PutResult:
        one = change.Change(
            change_id, base_version, AUTHOR, route_document.dump(asked)
        )
        command = ttypes.Command(at_ms=0, change=conversions.encode_change(one))
        committed = await self._parts.log.propose(command)
        if not committed.committed:
            detail = "not known to be committed; send it again"
            return PutResult(PutVerdict.UNAVAILABLE, detail)
        answer = conversions.decode_change_answer(committed.change)
        if answer.verdict is change_verdict.ChangeVerdict.ACCEPTED:
            return PutResult(PutVerdict.ACCEPTED, "accepted")
        return PutResult(PutVerdict.CONFLICT, answer.detail)
