"""Maximum sizes of a selector's text and its parts."""

MAXIMUM_TEXT_LENGTH = 4000
MAXIMUM_TERMS = 32
MAXIMUM_VALUES = 256
