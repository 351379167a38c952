"""Reasons why a text is not a selector."""

import enum


class SelectorFault(enum.Enum):
    """Sentinels for what is wrong with a selector's text."""

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
