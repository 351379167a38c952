"""What the head of a backend server's answer says of the request."""

from typing import NamedTuple

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.gateway import dialect as dialect_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module

_RunOutcome = run_outcome.RunOutcome
_CONTENT_CODING = b"content-encoding"
_MISDIRECTED_STATUS = 421


class BackendVerdict(NamedTuple):
    """Whether an answer may be passed on, and how the request ended.

    Attributes:
        status: Status of the answer.
        refusal: Why the request was not run, one of the reasons of
            `hop.NOT_RUN`; empty if it was run.
        defect: Why the answer of a request that was run may not be passed on;
            empty if it may be.
        is_failure: True if the request was run and failed.
    """

    status: int
    refusal: bytes = b""
    defect: str = ""
    is_failure: bool = False

    @property
    def is_passed_on(self) -> bool:
        """True if the answer may be passed on."""
        return not self.refusal and not self.defect

    @property
    def is_from_backend(self) -> bool:
        """True if it is certain that the expected backend server answered."""
        return not self.defect and self.refusal != hop.MISDIRECTED

    @property
    def outcome(self) -> run_outcome.RunOutcome:
        """How the run ended."""
        if self.refusal:
            return _RunOutcome.UNANSWERED
        return _RunOutcome.FAILED if self.is_failure else _RunOutcome.SERVED


def judge(
    head: answer_head.AnswerHead, dialect: dialect_module.Dialect
) -> BackendVerdict:
    """Judges an answer, whatever its length, by its head.

    Args:
        head: Head of the backend server's answer.
        dialect: Names of the headers.
    """
    status = head.status
    if status == _MISDIRECTED_STATUS:
        return BackendVerdict(status, refusal=hop.MISDIRECTED)
    first = headers_module.index(head.headers)
    if dialect.not_run in first:
        return BackendVerdict(status, refusal=hop.BACKEND_FULL)
    is_proven = dialect.proof in first and _CONTENT_CODING not in first
    if 200 <= status < 300 and not is_proven:
        return BackendVerdict(
            status,
            defect="successful answer without valid proof of the backend "
            "server",
        )
    return BackendVerdict(
        status, is_failure=status >= hop_answer.MINIMUM_SERVER_ERROR_STATUS
    )
