"""One condition of a selector."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.selectors import operator
from cranberrymux.decisions.selectors import value_pattern

_Operator = operator.Operator


class Term(NamedTuple):
    """A condition on one label.

    Attributes:
        name: Name of the label.
        operator: How its value is compared.
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
        return any(one.matches(value) for one in self.values) is not negative

    def __str__(self) -> str:
        """The term as the parser reads it."""
        if not self.values:
            return f"{self.operator.value} {self.name}"
        if self.operator in {_Operator.EQUAL, _Operator.NOT_EQUAL}:
            return f"{self.name} {self.operator.value} {self.values[0]}"
        values = ", ".join(str(one) for one in self.values)
        return f"{self.name} {self.operator.value} ({values})"
