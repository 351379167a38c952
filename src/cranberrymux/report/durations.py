"""Formats durations for people."""

_UNIT_LENGTHS_S = ((86400, "d"), (3600, "h"), (60, "min"))


def describe(duration_s: float) -> str:
    """Returns a duration in its largest unit with three digits, as `6 h`.

    Args:
        duration_s: Duration in seconds, at least 0.
    """
    for unit_s, unit in _UNIT_LENGTHS_S:
        if duration_s >= unit_s:
            return f"{duration_s / unit_s:.3g} {unit}"
    return f"{duration_s:.3g} s"
