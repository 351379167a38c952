"""Settings of one kind of request."""

from collections.abc import Mapping
from typing import NamedTuple


class KindSettings(NamedTuple):
    """One kind of request in a load.

    Attributes:
        name: Name in the report.
        weight: Share of the arrivals, relative to the other kinds.
        method: HTTP method.
        path: Path; `{request_id}` in it is replaced by the request's id.
        principal: Who asks.
        timeout_ms: How long the client waits for each attempt.
        body_bytes: Length of the body, which begins with the request id.
        headers: Further headers.
        resend_attempts: Times that a request without success is sent again
            under the same id.
        impatient: Sends again at once, whatever the answer says.
        hang_up_share: Share of the requests whose client hangs up.
        hang_up_ms: When it hangs up, after the attempt was sent.
    """

    name: str
    weight: float
    method: str
    path: str
    principal: str
    timeout_ms: float
    body_bytes: int
    headers: Mapping[str, str]
    resend_attempts: int
    impatient: bool
    hang_up_share: float
    hang_up_ms: float
