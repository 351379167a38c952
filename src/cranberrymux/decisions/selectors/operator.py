"""Comparison operators of selector terms."""

import enum


class Operator(enum.Enum):
    """The condition under which a label satisfies a term.

    Attributes:
        EQUAL: The label matches the value.
        NOT_EQUAL: The label is absent or does not match the value.
        IN: The label matches one of the values.
        NOT_IN: The label is absent or matches none of the values.
        EXISTS: The label is present, with any value.
        NOT_EXISTS: The label is absent.
    """

    EQUAL = "="
    NOT_EQUAL = "!="
    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "not exists"

    @property
    def is_negative(self) -> bool:
        """True if an absent label satisfies the operator."""
        return self in _NEGATIVE_OPERATORS


_NEGATIVE_OPERATORS = frozenset(
    {Operator.NOT_EQUAL, Operator.NOT_IN, Operator.NOT_EXISTS}
)
