"""Client accounts of the soak: their configuration over time."""

import threading
import time
from typing import NamedTuple

COLUMNS = ["name", "api_keys", "priority", "per_s", "burst"]
# Numbers of versions, of which every second is used, each for 0.8 s or more.
KEY_CHANGE_VERSIONS = 6
# Long enough for whole windows, one window after the lower limit began.
LOWERED_VERSIONS = range(16, 60)
HIGH_PER_S = 40.0
LOW_PER_S = 5.0
HOT_PER_S = 10.0
STEADY_PER_S = 50.0


class Limit(NamedTuple):
    """Limit of an account.

    Attributes:
        per_s: Requests a second; 0 for no limit.
        burst: Burst.
    """

    per_s: float
    burst: float


def get_limits(version):
    """Returns the limit of each account in a version, by its name."""
    lowered = LOW_PER_S if version in LOWERED_VERSIONS else HIGH_PER_S
    return {
        "steady": Limit(STEADY_PER_S, STEADY_PER_S),
        "hot": Limit(HOT_PER_S, HOT_PER_S),
        "lowered": Limit(lowered, lowered),
        # Without a limit, its requests run at once, with no wait for a token
        # in which a node hears of newer versions.
        "rotating": Limit(0.0, 0.0),
    }


def get_key(account, version):
    """Returns the key of an account in a version; one of them changes it."""
    if account != "rotating":
        return f"key-{account}"
    return f"key-{account}-{version // KEY_CHANGE_VERSIONS}"


def make_table(version):
    """Returns the table of accounts in a version."""
    rows = [
        [name, [get_key(name, version)], None, limit.per_s, limit.burst]
        for name, limit in get_limits(version).items()
    ]
    return {"columns": COLUMNS, "rows": rows}


class Acknowledgement(NamedTuple):
    """A version that a control instance acknowledged.

    Attributes:
        version: Its number.
        sent_s: When it was sent first, monotonic seconds.
        at_s: When it was acknowledged, monotonic seconds.
    """

    version: int
    sent_s: float
    at_s: float


class Timeline:
    """The versions that were sent, shared by operator, clients and checks."""

    def __init__(self):
        self._lock = threading.Lock()
        self._acknowledged = []
        self._sent = (0, 0.0)

    @property
    def acknowledged(self):
        """All acknowledgements so far, in order."""
        with self._lock:
            return list(self._acknowledged)

    @property
    def version(self):
        """The last version that was acknowledged; 0 for none."""
        with self._lock:
            return self._acknowledged[-1].version if self._acknowledged else 0

    @property
    def sent(self):
        """The last version that was sent, and when, monotonic seconds."""
        with self._lock:
            return self._sent

    def note_sent(self, version):
        """Records that a version is sent from now on."""
        with self._lock:
            self._sent = (version, time.monotonic())

    def note_acknowledged(self, version):
        """Records that a version is in force."""
        with self._lock:
            self._acknowledged.append(
                Acknowledgement(version, self._sent[1], time.monotonic())
            )
