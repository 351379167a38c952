"""Settings of quarantine at one endpoint."""

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """What an operator may set.

    Attributes:
        maximum_deaths: Backend servers that one fingerprint may cost a
            service before it is refused.
        deaths_if_sole: The same, if it was the only suspect on one of them,
            which leaves little doubt.
        deaths_to_alone: Deaths from which it runs beside no other call.
        life_s: Age at which a record without new deaths is forgotten.
        maximum_records: Most records kept; the oldest goes first, suspects
            before refused ones.
    """

    maximum_deaths: int = 3
    deaths_if_sole: int = 2
    deaths_to_alone: int = 2
    life_s: float = 900.0
    maximum_records: int = 4096
