"""Objects that all parts of one simulation run share."""

import random
from typing import NamedTuple

from bench.overload import clock
from bench.overload import policy
from bench.overload import recorder


class Context(NamedTuple):
    """Clock, random source, policy and recorder of one run.

    Attributes:
        clock: The virtual clock.
        generator: The only source of random numbers, seeded for the run.
        policy: The policy under test.
        recorder: Collects what the figures are computed from.
    """

    clock: clock.Clock
    generator: random.Random
    policy: policy.Policy
    recorder: recorder.Recorder
