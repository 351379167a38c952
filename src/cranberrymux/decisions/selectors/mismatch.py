"""Explanations of why labels do not match a selector."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import term as term_module


class Mismatch(NamedTuple):
    """The first term of a selector that a set of labels does not satisfy.

    Attributes:
        term: The unsatisfied term.
        value: Actual value of the term's label; None if the label is absent.
    """

    term: term_module.Term
    value: str | None

    def __str__(self) -> str:
        """Formats the term and the actual value as one line."""
        if self.value is None:
            return f"{self.term}: label {self.term.name} is absent"
        return f"{self.term}: label {self.term.name} is {self.value!r}"
