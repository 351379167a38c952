"""Settings of one kind of request."""

from collections.abc import Mapping
from typing import NamedTuple


class KindSettings(NamedTuple):
    """The requests of one kind and how their client behaves.

    Attributes:
        name: Name in the report.
        weight: Share of the arrivals, relative to the weights of the other
            kinds.
        method: HTTP method.
        path: Path; `{request_id}` in it is replaced by the request id.
        principal: Caller that is sent in the principal header.
        timeout_ms: Timeout that each attempt names to its target. The client
            waits `late_ms` longer and counts a later response as late.
        body_bytes: Length of the body, which begins with the request id; 0
            for none.
        headers: Additional headers by name.
        resend_attempts: Limit of resends of a request that did not succeed,
            under the same id.
        impatient: True if the client resends without delay, also after a
            refusal that names another time or none.
        hang_up_share: Share of the requests whose client hangs up, from 0 to 1.
        hang_up_ms: Time from the start of an attempt until the client hangs
            up.
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
