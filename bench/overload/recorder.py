"""Counters and ended requests of one simulation run."""

from typing import NamedTuple

from bench.overload import deployment


class EndedRequest(NamedTuple):
    """A client's request that was answered or given up.

    Attributes:
        arrived_s: Virtual seconds at which its client first sent it.
        last_sent_s: Virtual seconds at which its client last sent it.
        ended_s: Virtual seconds at which it was answered or given up.
        class_rank: Rank of its class.
        is_answered: True if its client got an answer in time.
        is_poison: True if it crashes backend servers.
        send_count: Number of times that the client sent it.
    """

    arrived_s: float
    last_sent_s: float
    ended_s: float
    class_rank: int
    is_answered: bool
    is_poison: bool
    send_count: int

    @property
    def is_protected(self) -> bool:
        """True if its class is protected."""
        return self.class_rank < deployment.PROTECTED_RANKS


class Recorder:
    """Collects what the figures of one run are computed from.

    Attributes:
        ended: Ended requests in order of their end.
        calls: Number of calls that were sent, without retries.
        attempts: Number of attempts that were sent, with retries.
        runs: Number of attempts that a backend server accepted.
        wrong_answers: Number of answers that were incomplete, belonged to
            another request, or named a call as not run that has run.
        deaths: Number of times that poison crashed a backend server.
        last_warm_s: Virtual seconds at which the last crashed backend server is
            warm again.
    """

    def __init__(self) -> None:
        """Creates a recorder with counters at 0."""
        self.ended: list[EndedRequest] = []
        self.calls = 0
        self.attempts = 0
        self.runs = 0
        self.wrong_answers = 0
        self.deaths = 0
        self.last_warm_s = 0.0
