"""Settings of the quarantine at one endpoint."""

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Death counts from which calls are isolated or refused, and limits.

    Attributes:
        maximum_deaths: Deaths of backend servers of a service from which a
            fingerprint is refused for good.
        maximum_deaths_if_sole: The same if the call was the only suspect in
            flight at one of the deaths, which makes it the likely cause.
        deaths_to_alone: Deaths from which a call runs with no other call on
            its endpoint.
        retention_s: Seconds after its last change at which a record is dropped.
        maximum_records: Most records kept; the oldest is evicted first, those
            of suspects before those of refused calls.
    """

    maximum_deaths: int = 3
    maximum_deaths_if_sole: int = 2
    deaths_to_alone: int = 2
    retention_s: float = 900.0
    maximum_records: int = 4096
