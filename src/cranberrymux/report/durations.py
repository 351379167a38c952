"""Durations for people."""

_UNITS = ((86400, "d"), (3600, "h"), (60, "min"))


def describe(duration_s: float) -> str:
    """Gives seconds in the largest unit that they fill, as `6 h`."""
    for length_s, unit in _UNITS:
        if duration_s >= length_s:
            return f"{duration_s / length_s:.3g} {unit}"
    return f"{duration_s:.3g} s"
