"""What the head of a backend server's answer says of the request."""

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.gateway import dialect as dialect_module
from cranberrymux.gateway import hop
from cranberrymux.models import http_status

_RunOutcome = run_outcome.RunOutcome
_CONTENT_CODING = b"content-encoding"
_MISDIRECTED_STATUS = 421
# Statuses with which a backend server refuses a request.
_REFUSAL_STATUSES = (400, 429, 503)
# Statuses by which a client takes its request for not run.
_PROMISING_STATUSES = (408, 429, 503)


class BackendVerdict:
    """Whether an answer may be passed on, and how the request ended.

    Attributes:
        refusal: Why the request was not run, one of the reasons of
            `hop.NOT_RUN`; empty if it was run.
        defect: Why the answer of a request that was run may not be passed on;
            empty if it may be.
        is_failure: True if the request was run and failed.
        is_passed_on: True if the answer may be passed on.
        is_clean: True if it may be passed on and is no failure.
        is_from_backend: True if it is certain that the expected backend server
            answered.
        outcome: How the run ended.
    """

    def __init__(
        self, refusal: bytes = b"", defect: str = "", is_failure: bool = False
    ) -> None:
        """Derives what follows from the reasons."""
        self.refusal = refusal
        self.defect = defect
        self.is_failure = is_failure
        self.is_passed_on = not refusal and not defect
        self.is_clean = self.is_passed_on and not is_failure
        self.is_from_backend = not defect and refusal != hop.MISDIRECTED
        self.outcome = _RunOutcome.FAILED if is_failure else _RunOutcome.SERVED
        if refusal:
            self.outcome = _RunOutcome.UNANSWERED


_SERVED = BackendVerdict()
_FAILED = BackendVerdict(is_failure=True)
_FULL = BackendVerdict(hop.BACKEND_FULL)
_MISDIRECTED = BackendVerdict(hop.MISDIRECTED)
_UNPROVEN = BackendVerdict(
    defect="successful answer without valid proof of the backend server"
)
_CONTRADICTORY = BackendVerdict(
    defect="an answer that says not-run beside a status of a request that ran"
)
_UNPROMISED = BackendVerdict(
    defect="a status that promises not-run, without the header that states it",
    is_failure=True,
)


def judge(
    status: int, first: dict[bytes, bytes], dialect: dialect_module.Dialect
) -> BackendVerdict:
    """Judges an answer, whatever its length, by its head.

    Args:
        status: Status of the backend server's answer.
        first: Value of its first header of each name.
        dialect: Names of the headers.
    """
    if status == _MISDIRECTED_STATUS:
        return _MISDIRECTED
    if dialect.not_run in first:
        return _FULL if status in _REFUSAL_STATUSES else _CONTRADICTORY
    if status in _PROMISING_STATUSES:
        return _UNPROMISED
    is_proven = dialect.proof in first and _CONTENT_CODING not in first
    if 200 <= status < 300 and not is_proven:
        return _UNPROVEN
    is_failure = status >= http_status.MINIMUM_SERVER_ERROR
    return _FAILED if is_failure else _SERVED
