"""Verdict of the claim ledger on a claim or a settlement."""

import enum


class ClaimVerdict(enum.Enum):
    """Whether a call may be run, or what is known of it.

    Attributes:
        GRANTED: The owner of the claim, and no other node, may run the call.
        RUNNING: The call was granted to `ClaimAnswer.owner` and has not ended.
        SETTLED: The call ran; the stored answer is returned.
        DIGEST_MISMATCH: The id was used for another body or principal.
        EXPIRED: The request id is too old, too far in the future or no UUIDv7;
            the call is not run.
        UNAVAILABLE: The call is not granted now.
        UNKNOWN_OUTCOME: The call may have run and will not be run again.
    """

    GRANTED = "granted"
    RUNNING = "running"
    SETTLED = "settled"
    DIGEST_MISMATCH = "digest-mismatch"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown-outcome"
