"""What all fakes of one run share."""

import random
from typing import NamedTuple

from bench.overload import clock
from bench.overload import policy
from bench.overload import recorder


class Context(NamedTuple):
    """Shared by the fakes of one run.

    Attributes:
        clock: The virtual clock.
        generator: The seeded source of chance.
        policy: The policy under test.
        recorder: Where the figures come from.
    """

    clock: clock.Clock
    generator: random.Random
    policy: policy.Policy
    recorder: recorder.Recorder
