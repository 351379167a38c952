"""Maximum sizes of a selector's text and its parts."""

MAXIMUM_CHARACTERS = 4000
MAXIMUM_TERMS = 32
MAXIMUM_VALUES_PER_TERM = 256
