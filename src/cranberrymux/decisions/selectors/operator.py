"""Operators of a selector's terms."""

import enum


class Operator(enum.Enum):
    """How a term compares the value of its label.

    Attributes:
        EQUAL: The label has the value.
        NOT_EQUAL: The label is absent or has another value.
        IN: The label has one of the values.
        NOT_IN: The label is absent or has none of the values.
        EXISTS: The label is there.
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
        return self in _NEGATIVE


_NEGATIVE = frozenset(
    {Operator.NOT_EQUAL, Operator.NOT_IN, Operator.NOT_EXISTS}
)
