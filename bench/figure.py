"""Figure of a benchmark and its bound."""

import json
from typing import NamedTuple


class Figure(NamedTuple):
    """A measured value with the bound that it must keep.

    Attributes:
        name: Name in the output; its parts are separated by dots.
        value: Measured value.
        unit: Unit of `value` and `bound`.
        bound: Limit that the value must keep; None if it has none.
        at_most: True if the bound is a maximum, False if it is a minimum.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_most: bool = True

    @property
    def holds(self) -> bool:
        """True if the value keeps its bound or has none."""
        if self.bound is None:
            return True
        if self.at_most:
            return self.value <= self.bound
        return self.value >= self.bound

    def print(self) -> bool:
        """Prints the figure as one line of JSON and returns `holds`."""
        line = self._asdict()
        del line["at_most"]
        line["holds"] = self.holds if self.bound is not None else None
        print(json.dumps(line), flush=True)
        return self.holds
