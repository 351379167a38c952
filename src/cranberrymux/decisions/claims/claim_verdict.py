"""What a claim is answered."""

import enum


class ClaimVerdict(enum.Enum):
    """The answer to a claim.

    Attributes:
        GRANTED: The asker, and nobody else, may run the call.
        RUNNING: It was granted to `owner` and has not ended.
        SETTLED: It ran; the answer is the stored one.
        DIGEST_MISMATCH: The id was used for another body or principal.
        EXPIRED: The id is too old, from the future or no UUIDv7; not run.
        UNAVAILABLE: No answer now; not granted.
        UNKNOWN_OUTCOME: It may have run; it will never be run again.
    """

    GRANTED = "granted"
    RUNNING = "running"
    SETTLED = "settled"
    DIGEST_MISMATCH = "digest-mismatch"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown-outcome"
