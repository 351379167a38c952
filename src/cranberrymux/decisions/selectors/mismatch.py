"""Why labels do not match a selector."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import term as term_module


class Mismatch(NamedTuple):
    """The first term that failed.

    Attributes:
        term: The term.
        value: The label's value; None if the label is absent.
    """

    term: term_module.Term
    value: str | None

    def __str__(self) -> str:
        """One line for people."""
        if self.value is None:
            return f"{self.term}: label {self.term.name} is absent"
        return f"{self.term}: label {self.term.name} is {self.value!r}"
