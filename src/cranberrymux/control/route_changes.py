"""Commits routing documents to the replicated configuration."""

import enum
from typing import NamedTuple

from cranberrymux.control import conversions
from cranberrymux.control import operator_port
from cranberrymux.control import stepwise
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.wire import limits
from cranberrymux.wire.gen.messages import ttypes

AUTHOR = "operator"
# Of the text form of a document, which is ASCII. One entry of the log and one
# message hold it with the fields around it.
MAXIMUM_STORED_CHARACTERS = limits.MAXIMUM_COMMAND_BYTES - 4096


class PutVerdict(enum.Enum):
    """Result of a request to replace the routing document.

    Attributes:
        ACCEPTED: The document is committed.
        CONFLICT: Another document than the named one is in force.
        INVALID: The document must not take effect.
        TOO_LARGE: The document does not fit into the replicated log.
        UNAVAILABLE: The document is not known to be committed.
        ASK_LEADER: A follower found a fault, but its own state may be too old
            to tell.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    TOO_LARGE = "too-large"
    UNAVAILABLE = "unavailable"
    ASK_LEADER = "ask-leader"


class PutResult(NamedTuple):
    """Verdict on a routing document with its cause.

    Attributes:
        verdict: Whether the document is committed, and if not, why.
        detail: Human-readable cause, one line.
    """

    verdict: PutVerdict
    detail: str


class RouteChanges:
    """Checks routing documents against the one in force and commits them."""

    def __init__(self, parts: operator_port.ControlParts) -> None:
        """Creates the checks without reading any state.

        Args:
            parts: Parts of the instance, to read its state and to commit
                changes.
        """
        self._parts = parts

    async def put(
        self,
        document: route_document.RouteDocument,
        base_label: int | None,
        change_id: str,
    ) -> PutResult:
        """Commits a document that replaces the one in force.

        Args:
            document: The new document.
            base_label: Label of the document that it replaces, 0 if there is
                none; None if the operator named no label.
            change_id: Id of the change, the same on each resend; a resend of
                an accepted change is accepted again.
        """
        parts = self._parts
        if not parts.log.vouched_ms():
            return PutResult(PutVerdict.UNAVAILABLE, "no contact with a quorum")
        ledger = parts.machine.configuration
        stored = ledger.answer_of(change_id)
        accepted = change_verdict.ChangeVerdict.ACCEPTED
        if stored is not None and stored.verdict is accepted:
            return PutResult(PutVerdict.ACCEPTED, "already accepted")
        base_version = ledger.version
        refusal = await self._find_refusal(document, base_label)
        if refusal is None:
            return await self._commit(document, base_version, change_id)
        if parts.log.role() != "leader":
            # A follower may lack the newest version; only the leader has it.
            return PutResult(PutVerdict.ASK_LEADER, refusal.detail)
        return refusal

    async def _find_refusal(
        self, document: route_document.RouteDocument, base_label: int | None
    ) -> PutResult | None:
        """Returns why the state here refuses a document, or None."""
        text = self._parts.machine.configuration.document
        current_label = route_document.load_label(text) or 0
        if base_label != current_label:
            detail = f"label {current_label} is in force, not {base_label}"
            return PutResult(PutVerdict.CONFLICT, detail)
        invalid = await stepwise.run(
            self._parts.reactor,
            document_check.check_in_steps(document, current_label),
        )
        if invalid is not None:
            detail = f"{invalid.route_name}: {invalid.detail}"
            return PutResult(PutVerdict.INVALID, detail)
        return None

    async def _commit(
        self,
        document: route_document.RouteDocument,
        base_version: int,
        change_id: str,
    ) -> PutResult:
        try:
            text = await stepwise.run(
                self._parts.reactor, route_document.dump_in_steps(document)
            )
        except ValueError as error:
            return PutResult(PutVerdict.TOO_LARGE, str(error))
        if len(text) > MAXIMUM_STORED_CHARACTERS:
            detail = (
                f"the configuration takes {len(text)} bytes compressed, limit"
                f" {MAXIMUM_STORED_CHARACTERS}"
            )
            return PutResult(PutVerdict.TOO_LARGE, detail)
        requested = change.Change(change_id, base_version, AUTHOR, text)
        command = ttypes.Command(
            at_ms=0, change=conversions.encode_change(requested)
        )
        command_answer = await self._parts.log.propose(command)
        if not command_answer.committed:
            detail = "not known to be committed; send it again"
            return PutResult(PutVerdict.UNAVAILABLE, detail)
        answer = conversions.decode_change_answer(command_answer.change)
        if answer.verdict is change_verdict.ChangeVerdict.ACCEPTED:
            return PutResult(PutVerdict.ACCEPTED, "accepted")
        return PutResult(PutVerdict.CONFLICT, answer.detail)
