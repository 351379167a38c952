"""What the fakes record."""

from typing import NamedTuple

from bench.overload import deployment


class Ended(NamedTuple):
    """A whole request that ended.

    Attributes:
        arrived_s: When its client first sent it.
        sent_s: When its client sent it last.
        ended_s: When its client had the last answer.
        class_rank: Its class.
        is_done: True if a whole answer came in time.
        is_poison: True if it crashes backend servers.
        was_sent: Times that the client sent it.
    """

    arrived_s: float
    sent_s: float
    ended_s: float
    class_rank: int
    is_done: bool
    is_poison: bool
    was_sent: int

    @property
    def is_protected(self) -> bool:
        """True if it is of a protected class."""
        return self.class_rank < deployment.PROTECTED_RANKS


class Recorder:
    """Counters and ended requests of one run.

    Attributes:
        ended: Every request that ended.
        calls: Calls that had to be made, each counted once.
        attempts: Attempts of those calls that were sent.
        runs: Calls that a backend server began.
        wrong: Answers that were not whole, of another request, or that said
            not-run of a call that ran.
        deaths: Backend servers that died by poison.
        warm_s: When the last of those was warm again.
    """

    def __init__(self) -> None:
        """Starts at zero."""
        self.ended: list[Ended] = []
        self.calls = 0
        self.attempts = 0
        self.runs = 0
        self.wrong = 0
        self.deaths = 0
        self.warm_s = 0.0
