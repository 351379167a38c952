"""When a caller that was refused may come back."""

import random

SHORTEST_S = 0.2
LONGEST_S = 1.0


def draw(generator: random.Random) -> bytes:
    """Returns seconds with fractions, spread so that callers do not meet."""
    wait_s = generator.uniform(SHORTEST_S, LONGEST_S)
    return b"%.2f" % wait_s
