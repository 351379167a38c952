"""Settings of the quarantine at one endpoint."""

import math
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
        first_trial_delay_s: Seconds after the last report at which a refused
            call may run once more. A call that was never the only suspect
            has its first trial at once.
        maximum_trial_delay_s: The same after trials that ended without a death,
            each of which doubles the delay up to this.
        fatal_trial_delay_s: The same after a trial that may have ended with a
            death.
        maximum_fatal_trials: Such trials from which there is no other.
        maximum_inconclusive_trials: Trials without a death that may come
            beside one that is fatal. Beside none, their number is not limited.
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
    first_trial_delay_s: float = 2.0
    maximum_trial_delay_s: float = 4.0
    fatal_trial_delay_s: float = 8.0
    maximum_fatal_trials: int = 2
    maximum_inconclusive_trials: int = 2
    linger_s: float = 1.0
    maximum_down_s: float = 6.0
    retention_s: float = 900.0
    maximum_records: int = 4096

    def get_trial_delay_s(
        self, fatal: int, inconclusive: int, *, was_sole: bool
    ) -> float:
        """Returns the delay of the next trial of a refused call.

        Args:
            fatal: Trials that may have ended with a death.
            inconclusive: Trials that ended without one.
            was_sole: True if the call was the only suspect at a death.

        Returns:
            Seconds after the last report; infinity for no trial.
        """
        if fatal:
            is_used_up = (
                fatal >= self.maximum_fatal_trials
                or inconclusive > self.maximum_inconclusive_trials
            )
            return math.inf if is_used_up else self.fatal_trial_delay_s
        if inconclusive:
            delay_s = self.first_trial_delay_s * 2.0 ** (inconclusive - 1)
            return min(delay_s, self.maximum_trial_delay_s)
        return self.first_trial_delay_s if was_sole else 0.0

    def refuses(self, deaths: int, *, was_sole: bool) -> bool:
        """True if calls with this many deaths that count are refused."""
        allowed = self.maximum_deaths
        if was_sole:
            allowed = min(allowed, self.maximum_deaths_if_sole)
        return deaths >= allowed
