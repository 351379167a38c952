"""Decodes whole numbers from headers of any content."""

# More digits would exceed what a float holds exactly, and from some thousands
# on Python refuses to convert them.
MAXIMUM_DIGITS = 15


def decode(
    value: bytes | None, maximum_digits: int = MAXIMUM_DIGITS
) -> int | None:
    """Decodes a number of ASCII digits.

    Args:
        value: Value of a header; None if it is missing.
        maximum_digits: Most digits that the number may have.

    Returns:
        The number; None for any other value, and for one that is too long.
    """
    if value is None or len(value) > maximum_digits or not value.isdigit():
        return None
    return int(value)
