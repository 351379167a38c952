"""A checked observation of the demo."""

from typing import NamedTuple


class Expectation(NamedTuple):
    """What was observed in one step of the demo and what was expected.

    Attributes:
        step: Name of the step.
        observed: Observed figures, as text.
        expected: Expected figures, as text.
        holds: True if the observation meets the expectation.
    """

    step: str
    observed: str
    expected: str
    holds: bool

    def print(self) -> None:
        """Prints one line with `ok` or `MISSED`, observed and expected."""
        mark = "ok    " if self.holds else "MISSED"
        print(
            f"{mark} {self.step}: {self.observed} (expected {self.expected})",
            flush=True,
        )
