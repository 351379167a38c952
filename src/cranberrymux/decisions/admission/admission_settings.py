"""Settings of admission at one endpoint."""

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """What an operator may set; the defaults serve both small and large slots.

    Attributes:
        slots: Calls that the backend server says it can run at once.
        class_ranks: Number of classes; ranks run from 0 to one less.
        window_s: Length of one window of measurement, in seconds.
        target_wait_s: Mean wait in the queue above which the level falls.
        maximum_wait_s: No call is queued for longer than this, or than twice
            this if only lower classes are being shed.
        maximum_alone_wait_s: Longest wait of a suspect for an idle endpoint.
        queue_per_slot: Queued calls allowed for each slot of the limit.
        minimum_queue: Queued calls allowed however small the limit is.
        hint_life_s: Age at which a load hint or a level of a deeper service
            no longer counts.
        minimum_retry_after_ms: Shortest time to come back.
        maximum_retry_after_ms: Longest time to come back.
    """

    slots: int = 16
    class_ranks: int = 8
    window_s: float = 0.1
    target_wait_s: float = 0.02
    maximum_wait_s: float = 0.25
    maximum_alone_wait_s: float = 1.0
    queue_per_slot: float = 1.0
    minimum_queue: int = 4
    hint_life_s: float = 1.0
    minimum_retry_after_ms: int = 100
    maximum_retry_after_ms: int = 5000
