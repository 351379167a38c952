"""Settings of the admission control of one endpoint."""

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """Tunable limits; the defaults suit few and many slots alike.

    Attributes:
        slots: Number of calls that the backend server announces it can run
            at once.
        class_count: Number of request classes; ranks run from 0 to
            `class_count - 1`.
        window_s: Length of a measurement window, in seconds.
        target_wait_s: Mean queue wait, in seconds, above which the shed level
            is lowered.
        maximum_wait_s: Longest queue wait of a call, in seconds; twice as long
            for a class above the one being shed.
        maximum_exclusive_wait_s: Longest time, in seconds, that a suspect that
            must run alone waits for the endpoint to become idle.
        queue_per_slot: Queue length allowed per call of the concurrency limit.
        minimum_queue_length: Queue length allowed however low the limit is.
        hint_ttl_s: Age, in seconds, from which a load hint or the shed level
            of a downstream service is ignored.
        minimum_retry_after_ms: Lower bound of the retry delay sent with a
            refusal, in milliseconds.
        maximum_retry_after_ms: Upper bound of the time, in milliseconds, over
            which the retries of refused calls are spread.
    """

    slots: int = 16
    class_count: int = 8
    window_s: float = 0.1
    target_wait_s: float = 0.02
    maximum_wait_s: float = 0.25
    maximum_exclusive_wait_s: float = 1.0
    queue_per_slot: float = 1.0
    minimum_queue_length: int = 4
    hint_ttl_s: float = 1.0
    minimum_retry_after_ms: int = 100
    maximum_retry_after_ms: int = 5000
