"""What a backend server says of itself in the head of an answer."""

from typing import NamedTuple

from cranberrymux.decisions.endpoints import load_figures_value
from cranberrymux.decisions.rate_limits import rate_limit_value
from cranberrymux.gateway import dialect as dialect_module
from cranberrymux.models import load_figures
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module

_LEAVING = b"1"
_SHOWN_BYTES = 40  # Part of an invalid value that its error shows.


class BackendSignals(NamedTuple):
    """What one answer says of the backend server that gave it.

    Attributes:
        rate_limit_per_s: Requests a second that it accepts from all instances
            together; None if it names no limit.
        is_leaving: True if it is leaving and is to get no new requests.
        rate_limit_error: Why the limit that it names is ignored; empty if it
            is valid or missing.
        leaving_error: The same for the header that says that it is leaving.
        load: Its load figures; None if it names none.
        load_error: Why the load figures that it names are ignored; empty if
            they are valid or missing.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    rate_limit_error: str = ""
    leaving_error: str = ""
    load: load_figures.LoadFigures | None = None
    load_error: str = ""


NO_SIGNALS = BackendSignals()


def read(
    head: answer_head.AnswerHead,
    first: dict[bytes, bytes],
    dialect: dialect_module.Dialect,
) -> BackendSignals:
    """Reads the signals of an answer.

    Args:
        head: Head of an answer of the backend server.
        first: Value of its first header of each name.
        dialect: Names of the headers.
    """
    if (
        dialect.rate_limit not in first
        and dialect.leaving not in first
        and dialect.load not in first
    ):
        return NO_SIGNALS
    limits = headers_module.find_all(head.headers, dialect.rate_limit)
    leavings = headers_module.find_all(head.headers, dialect.leaving)
    loads = headers_module.find_all(head.headers, dialect.load)
    rate_limit_error = ""
    rate_limit = rate_limit_value.parse(limits)
    if isinstance(rate_limit, rate_limit_value.RateLimitError):
        rate_limit_error = rate_limit.detail
        rate_limit = None
    leaving_error = ""
    if any(value != _LEAVING for value in leavings):
        leaving_error = f"expected 1, found {leavings[0][:_SHOWN_BYTES]!r}"
    load_error = ""
    load = load_figures_value.parse(loads)
    if isinstance(load, load_figures_value.LoadFiguresError):
        load_error = load.detail
        load = None
    return BackendSignals(
        rate_limit,
        bool(leavings) and not leaving_error,
        rate_limit_error,
        leaving_error,
        load,
        load_error,
    )
