"""The verdict that a call may start now."""

from typing import NamedTuple


class Admitted(NamedTuple):
    """The call holds a slot until `AdmissionController.finish` is called.

    Attributes:
        waited_s: Seconds spent in the queue; 0.0 if the call started at once.
    """

    waited_s: float
