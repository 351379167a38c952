"""Parses the idle timeout in the `Keep-Alive` header of an answer."""

import math
import re

_TIMEOUT_PARAMETER = re.compile(rb"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)
# A connection is not reused for this long before its receiver closes it, as
# a request sent while the receiver closes is lost. The smaller margin holds.
MARGIN_S = 1.0
MARGIN_RATIO = 0.2


def parse_reuse_time_s(value: bytes) -> float:
    """Returns for how long an idle connection may be reused.

    Args:
        value: Value of the `Keep-Alive` header.

    Returns:
        The announced idle timeout less a margin, in seconds; infinity if the
        header announces none.
    """
    found = _TIMEOUT_PARAMETER.search(value)
    if found is None:
        return math.inf
    timeout_s = float(found[1])
    return timeout_s - min(MARGIN_S, MARGIN_RATIO * timeout_s)
