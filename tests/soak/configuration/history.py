"""What operators sent and instances answered, shared by threads and checks."""

import hashlib
import json
import math
import threading
import time
from typing import NamedTuple


class Change:
    """A configuration that was sent.

    Attributes:
        document: The configuration.
        sent_s: When it was sent first, monotonic seconds.
        acknowledged_s: When it was acknowledged first; infinite until then.
        refused_s: When it was refused; infinite until then.
    """

    def __init__(self, document, sent_s):
        self.document = document
        self.sent_s = sent_s
        self.acknowledged_s = math.inf
        self.refused_s = math.inf

    @property
    def is_acknowledged(self):
        return self.acknowledged_s < math.inf

    @property
    def may_be_in_force(self):
        """True if it was acknowledged, or is valid and was not refused."""
        is_refused = self.document.invalid_kind or self.refused_s < math.inf
        return self.is_acknowledged or not is_refused


class Read(NamedTuple):
    """An answer to a read of the configuration.

    Attributes:
        ip: Address of the control instance.
        sent_s: When the read was sent, monotonic seconds.
        ended_s: When it was answered, monotonic seconds.
        version: Version of the answer.
        digest: Digest of its content.
    """

    ip: str
    sent_s: float
    ended_s: float
    version: int
    digest: str


def make_digest(body):
    """Returns a digest that is equal for equal JSON values."""
    text = json.dumps(json.loads(body), sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


class History:
    """All changes of one run, in the order in which they were sent first."""

    def __init__(self):
        self._lock = threading.Condition()
        self._changes = []
        self._acknowledgements = 0

    @property
    def changes(self):
        with self._lock:
            return list(self._changes)

    @property
    def possible(self):
        """The changes that may be in force or were, by version."""
        return sorted(
            (change for change in self.changes if change.may_be_in_force),
            key=lambda change: change.document.version,
        )

    def note_sent(self, document):
        """Records that a configuration is sent from now on."""
        change = Change(document, time.monotonic())
        with self._lock:
            self._changes.append(change)
        return change

    def note_acknowledged(self, change):
        with self._lock:
            change.acknowledged_s = min(change.acknowledged_s, time.monotonic())
            self._acknowledgements += 1
            self._lock.notify_all()

    def note_refused(self, change):
        """Records a refusal; a change that was acknowledged stays so."""
        with self._lock:
            if not change.is_acknowledged:
                change.refused_s = time.monotonic()

    def wait_for_acknowledgement(self, timeout_s):
        """Waits for the next one; returns False if there is none in time."""
        with self._lock:
            seen = self._acknowledgements
            return self._lock.wait_for(
                lambda: self._acknowledgements > seen, timeout_s
            )


def decode(body):
    """Returns version and digest of an answer; `(-1, "")` if it is cut off."""
    try:
        return json.loads(body)["version"], make_digest(body)
    except (ValueError, KeyError, TypeError):
        return -1, ""
