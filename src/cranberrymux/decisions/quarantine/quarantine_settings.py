"""Settings of the quarantine at one endpoint."""

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Death counts from which calls are isolated or refused, and limits.

    Attributes:
        maximum_deaths: Deaths of backend servers of a service from which a
            fingerprint is refused.
        maximum_deaths_if_sole: The same if the call was the only suspect in
            flight at one of the deaths, which makes it the likely cause.
        deaths_to_alone: Deaths from which a call runs with no other call on
            its endpoint.
        trial_delays_s: Seconds after the last report at which a refused call
            may run once more, for the first trial, the second and so on. A
            call that was never the only suspect has its first trial at once.
        linger_s: Seconds for which a run that was cancelled may still crash
            its backend server.
        maximum_down_s: Seconds that a backend server may be gone before the
            process that replaces it shows that it died.
        retention_s: Seconds after its last use at which a record is dropped.
        maximum_records: Most records kept; the oldest is evicted first, those
            of suspects before those of refused calls.
    """

    maximum_deaths: int = 3
    maximum_deaths_if_sole: int = 2
    deaths_to_alone: int = 2
    trial_delays_s: tuple[float, ...] = (2.0, 30.0)
    linger_s: float = 1.0
    maximum_down_s: float = 6.0
    retention_s: float = 900.0
    maximum_records: int = 4096

    def refuses(self, deaths: int, *, was_sole: bool) -> bool:
        """True if calls with this many deaths that count are refused."""
        allowed = self.maximum_deaths
        if was_sole:
            allowed = min(allowed, self.maximum_deaths_if_sole)
        return deaths >= allowed
