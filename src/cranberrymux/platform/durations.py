"""Times as the platform writes them: a number and its unit."""

import re
from typing import Any

_FORM = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_S = 1000


def read_s(text: Any) -> float:
    """Returns seconds of a text such as `1500ms` or `2.5s`.

    Raises:
        ValueError: The text is not of this form.
    """
    found = _FORM.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"not a time: {text!r}")
    number = float(found[1])
    return number / _MS_PER_S if found[2] == "ms" else number
