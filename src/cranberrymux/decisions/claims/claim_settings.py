"""Settings of the claim ledger."""

from typing import NamedTuple

# Furthest that the time in a request id may be ahead of the ledger's time.
MAXIMUM_FUTURE_MS = 300_000


class ClaimSettings(NamedTuple):
    """Ages and limits of the claims in the ledger.

    `retention_ms` must exceed the sum of `accepted_age_ms` and
    `MAXIMUM_FUTURE_MS`. A request id is then refused as too old before its
    claim is dropped, so no call is granted twice.

    Attributes:
        accepted_age_ms: Largest age in milliseconds of a request id whose
            calls are granted.
        retention_ms: Milliseconds for which a claim is kept after its grant.
        running_ms: Milliseconds after its grant at which a call that has not
            ended is taken to have an unknown outcome.
        maximum_claims: Most claims kept; further ones are not granted.
        maximum_body_bytes: Largest response body kept.
        maximum_stored_bytes: Most bytes of response bodies kept in total;
            further answers are kept without their body.
    """

    accepted_age_ms: int = 3_600_000
    retention_ms: int = 7_200_000
    running_ms: int = 600_000
    maximum_claims: int = 200_000
    maximum_body_bytes: int = 65_536
    maximum_stored_bytes: int = 67_108_864
