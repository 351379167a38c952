"""Kinds of syntax faults in the text of a selector."""

import enum


class SelectorFault(enum.Enum):
    """Why a text is not a valid selector.

    Attributes:
        EMPTY: The text has no term.
        TOO_LONG: The text has too many characters.
        TOO_MANY_TERMS: The selector has too many terms.
        TOO_MANY_VALUES: A list has too many values.
        NAME_EXPECTED: A term does not begin with a label name, `exists` or
            `not exists`.
        OPERATOR_EXPECTED: An operator, or the `exists` after `not`, is
            missing.
        VALUE_EXPECTED: A value is missing.
        LIST_EXPECTED: A list of values is not opened, continued or closed.
        COMMA_EXPECTED: A term is followed by something other than a comma.
        LABEL_EXPECTED: No label name follows `exists`.
        ASTERISK_PLACE: An unescaped asterisk is not at the end of a value.
        QUOTE_OPEN: A quoted value is not closed or has an invalid escape.
    """

    EMPTY = "empty"
    TOO_LONG = "too-long"
    TOO_MANY_TERMS = "too-many-terms"
    TOO_MANY_VALUES = "too-many-values"
    NAME_EXPECTED = "name-expected"
    OPERATOR_EXPECTED = "operator-expected"
    VALUE_EXPECTED = "value-expected"
    LIST_EXPECTED = "list-expected"
    COMMA_EXPECTED = "comma-expected"
    LABEL_EXPECTED = "label-expected"
    ASTERISK_PLACE = "asterisk-place"
    QUOTE_OPEN = "quote-open"
