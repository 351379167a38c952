"""One measured figure and the bound it is held to."""

import json
from typing import NamedTuple


class Figure(NamedTuple):
    """A figure as it was measured.

    Attributes:
        name: Dotted name.
        value: What was measured.
        unit: Unit of value and bound.
        bound: The stated target; None if there is none.
        at_most: True if the value may not exceed the bound, False if it may
            not fall below it.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_most: bool = True

    @property
    def holds(self) -> bool:
        """True if the figure keeps its bound, or has none."""
        if self.bound is None:
            return True
        if self.at_most:
            return self.value <= self.bound
        return self.value >= self.bound

    def print(self) -> bool:
        """Prints the figure as one JSON line; returns `holds`."""
        line = self._asdict()
        del line["at_most"]
        line["holds"] = self.holds if self.bound is not None else None
        print(json.dumps(line), flush=True)
        return self.holds
