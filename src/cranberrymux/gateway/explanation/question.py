"""The request that a node is asked about."""

from typing import NamedTuple
from urllib import parse as url_parse

from cranberrymux.models import whole_number

MAXIMUM_FIELDS = 16
FIELDS = ("method", "host", "path", "account", "priority", "deadline_ms")
# This and lower characters would end a field of a request line or a header.
_LAST_FORBIDDEN = " "


class Question(NamedTuple):
    """A request of a client, without its key and its body.

    Attributes:
        method: HTTP method in upper case.
        path: Path, without the query.
        host: Value of the `Host` header; empty for the only one of the
            configuration.
        account: Name of the client account; empty for none.
        priority: Priority rank in place of that of the account or route; None
            to keep it.
        deadline_ms: Milliseconds that the client allows; None for the timeout
            of the route.
    """

    method: str
    path: str
    host: str = ""
    account: str = ""
    priority: int | None = None
    deadline_ms: int | None = None


class QuestionError(NamedTuple):
    """Result for a question that cannot be answered.

    Attributes:
        error: Short name of the cause.
        detail: Cause in one line for people. It repeats no value, as a key may
            have been given by mistake.
        status: HTTP status of the answer.
    """

    error: str
    detail: str
    status: int = 400


def parse(query: bytes) -> Question | QuestionError:
    """Reads a question from the query of a URL.

    Args:
        query: What follows the question mark.
    """
    try:
        pairs = url_parse.parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAXIMUM_FIELDS,
        )
    except ValueError:
        return _fail("the query cannot be read")
    fields = dict(pairs)
    if len(fields) != len(pairs) or not fields.keys() <= set(FIELDS):
        return _fail(f"expected {', '.join(FIELDS)} only, each at most once")
    for name in ("method", "host", "path"):
        if any(each <= _LAST_FORBIDDEN for each in fields.get(name, "")):
            return _fail(f"{name} has a space or control character")
    if not fields.get("path", "").startswith("/"):
        return _fail("path does not begin with /")
    numbers: dict[str, int | None] = {}
    for name in ("priority", "deadline_ms"):
        numbers[name] = whole_number.decode(fields.get(name, "").encode())
        if name in fields and numbers[name] is None:
            return _fail(f"{name} is not a whole number")
    return Question(
        fields.get("method", "GET").upper(),
        fields["path"].partition("?")[0],
        fields.get("host", ""),
        fields.get("account", ""),
        numbers["priority"],
        numbers["deadline_ms"],
    )


def _fail(detail: str) -> QuestionError:
    return QuestionError("bad-question", detail)
