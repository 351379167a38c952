"""The `Keep-Alive` header."""

import math
import re

_TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)
# A connection is left so much earlier than its receiver closes it.
MARGIN_S = 1.0
MARGIN_RATIO = 0.2


def read_kept_s(value: bytes) -> float:
    """Returns for how long an idle connection may be used again."""
    found = _TIMEOUT.search(value)
    if found is None:
        return math.inf
    timeout_s = float(found[1])
    return timeout_s - min(MARGIN_S, MARGIN_RATIO * timeout_s)
