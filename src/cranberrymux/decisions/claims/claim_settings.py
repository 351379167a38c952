"""Ages and bounds of claims."""

from typing import NamedTuple

MAXIMUM_FUTURE_MS = 300_000


class ClaimSettings(NamedTuple):
    """Ages and bounds of the claim ledger.

    `retention_ms` must be more than `accepted_age_ms` and
    `MAXIMUM_FUTURE_MS` together: then an id is refused as too old before
    its claim is forgotten.

    Attributes:
        accepted_age_ms: Oldest request id that is granted.
        retention_ms: How long a claim is kept.
        running_ms: A claim that has run longer has an unknown outcome.
        maximum_claims: Claims that are kept at most.
        maximum_body_bytes: Largest answer that is kept.
        maximum_stored_bytes: Answers that are kept in all; further ones are
            kept without their body.
    """

    accepted_age_ms: int = 3_600_000
    retention_ms: int = 7_200_000
    running_ms: int = 600_000
    maximum_claims: int = 200_000
    maximum_body_bytes: int = 65_536
    maximum_stored_bytes: int = 67_108_864
