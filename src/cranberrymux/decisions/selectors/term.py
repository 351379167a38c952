"""Terms of a selector, each a condition on one label."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.selectors import operator
from cranberrymux.decisions.selectors import value_pattern

_Operator = operator.Operator


class Term(NamedTuple):
    """A condition on the presence or the value of one label.

    Attributes:
        name: Name of the label.
        operator: Comparison of the label's value with `values`.
        values: One pattern for `=` and `!=`, none for `exists` and
            `not exists`, one or more for `in` and `notin`.
    """

    name: str
    operator: operator.Operator
    values: tuple[value_pattern.ValuePattern, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """True if the labels satisfy the condition."""
        value = labels.get(self.name)
        negative = self.operator.is_negative
        if value is None:
            return negative
        if not self.values:
            return not negative
        return (
            any(pattern.matches(value) for pattern in self.values)
            is not negative
        )

    def __str__(self) -> str:
        """Formats the term as text that the parser accepts."""
        if not self.values:
            return f"{self.operator.value} {self.name}"
        if self.operator in {_Operator.EQUAL, _Operator.NOT_EQUAL}:
            return f"{self.name} {self.operator.value} {self.values[0]}"
        values = ", ".join(str(pattern) for pattern in self.values)
        return f"{self.name} {self.operator.value} ({values})"
