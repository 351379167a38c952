"""Operators that change the configuration, at times against each other."""

import random
import threading
import time

from tests.soak.configuration import calls
from tests.soak.configuration import documents
from tests.soak.configuration import invalid_documents

# Number of changes that race with another one, to draw from.
RIVALS = (0, 0, 0, 0, 1, 1, 3)
SAME_VERSION_SHARE = 0.5
INVALID_SHARE = 0.5
RESEND_SHARE = 0.5
MAXIMUM_RESEND_DELAY_S = 1.0
MINIMUM_PAUSE_S = 0.05
MAXIMUM_PAUSE_S = 1.0
# Time for which an invalid change is sent again until it gets an answer.
INVALID_S = 8.0
# Time for which an accepted change is sent again until it gets an answer.
RESEND_S = 8.0
# An invalid change must get its answer in so many attempts.
MAXIMUM_FAILURES = 3


class Operators(threading.Thread):
    """Sends changes in rounds: one, or some on the same version, and invalid.

    The next round begins once each has a clear answer.

    Attributes:
        violations: Messages about answers that must not be.
        answers: Number of clear answers, by kind of change and status.
    """

    def __init__(self, seed, history, get_instances, is_core_calm):
        """Prepares the operators.

        Args:
            seed: Seed of what they draw.
            history: The `history.History` for what they send.
            get_instances: Function that returns their list of instances.
            is_core_calm: Function that tells whether no control instance was
                disturbed between two times, monotonic seconds.
        """
        super().__init__(daemon=True)
        self.violations = []
        self.answers = {}
        self._seed = seed
        self._history = history
        self._get_instances = get_instances
        self._is_core_calm = is_core_calm
        self._random = random.Random(f"operators {seed}")
        self._drawer = documents.Drawer(seed)
        self._kinds = []
        self._should_stop = threading.Event()
        self._calls = 0
        self._threads = []

    def stop(self):
        self._should_stop.set()

    def run(self):
        base = documents.EMPTY
        while not self._should_stop.is_set():
            accepted = self._run_round(base)
            if accepted is None:
                break
            base = accepted.document
            self._resend(accepted)
            self._should_stop.wait(
                self._random.uniform(MINIMUM_PAUSE_S, MAXIMUM_PAUSE_S)
            )
        for thread in self._threads:
            thread.join()

    def _run_round(self, base):
        """Returns the change that was accepted; None if none was."""
        valid = [
            self._history.note_sent(document) for document in self._draw(base)
        ]
        threads = [
            threading.Thread(target=self._submit, args=(change,), daemon=True)
            for change in valid
        ]
        if base.version and self._random.random() < INVALID_SHARE:
            self._submit_invalid(base)
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [
            change
            for change in self._history.changes
            if change.is_acknowledged and change.document.base == base.version
        ]
        if not accepted and not self._should_stop.is_set():
            self.violations.append(
                f"CONFIG no change on top of {base.version} was accepted"
            )
        return accepted[0] if accepted else None

    def _draw(self, base):
        """Returns one change, or some that race on the same version."""
        drawn = [self._drawer.draw(base)]
        if base.version:
            for _ in range(self._random.choice(RIVALS)):
                is_same = self._random.random() < SAME_VERSION_SHARE
                version = drawn[0].version if is_same else None
                drawn.append(self._drawer.draw(base, version))
        return drawn

    def _draw_kind(self):
        """Draws each kind once before any kind comes again."""
        if not self._kinds:
            self._kinds = list(invalid_documents.KINDS)
            self._random.shuffle(self._kinds)
        return self._kinds.pop()

    def _submit(self, change):
        call = self._start_call(change.document, self._should_stop)
        call.join()
        self._note_answer(change, call)
        if call.status not in (0, 200, 412):
            self.violations.append(
                f"CONFIG version {change.document.version} got {call.status}"
            )

    def _submit_invalid(self, base):
        """Sends an invalid change side by side with this and later rounds."""
        document = invalid_documents.make(self._draw_kind(), self._drawer, base)
        change = self._history.note_sent(document)
        thread = threading.Thread(
            target=self._submit_until, args=(change, INVALID_S), daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def _submit_until(self, change, span_s):
        """Sends a change until it is answered, or for some time."""
        ended = threading.Event()
        call = self._start_call(change.document, ended)
        call.join(span_s)
        ended.set()
        call.join()
        self._note_answer(change, call)
        self._check_failures(change.document.invalid_kind, call)

    def _note_answer(self, change, call):
        self._count(change.document.invalid_kind or "valid", call.status)
        if call.status == 200:
            self._history.note_acknowledged(change)
        elif call.status:
            self._history.note_refused(change)

    def _start_call(self, document, should_stop):
        self._calls += 1
        seed = f"{self._seed} {self._calls}"
        call = calls.Call(document, self._get_instances, seed, should_stop)
        call.start()
        return call

    def _check_failures(self, kind, call):
        failures = [
            status
            for at_s, status in call.failures
            if self._is_core_calm(at_s - calls.ANSWER_TIMEOUT_S, at_s)
        ]
        if len(failures) >= MAXIMUM_FAILURES:
            self.violations.append(
                f"CONFIG invalid got no 4xx: {kind}: {failures[:5]}"
            )

    def _resend(self, change):
        """Sends an accepted change again, as if the answer had been lost."""
        while self._random.random() < RESEND_SHARE:
            self._should_stop.wait(
                self._random.uniform(0.0, MAXIMUM_RESEND_DELAY_S)
            )
            ended = threading.Event()
            call = self._start_call(change.document, ended)
            call.join(RESEND_S)
            ended.set()
            call.join()
            self._count("again", call.status)
            if call.status not in (0, 200):
                self.violations.append(
                    f"CONFIG accepted version {change.document.version} got"
                    f" {call.status} from {call.ip} when sent again,"
                    f" at {time.monotonic():.3f} s"
                )

    def _count(self, kind, status):
        key = (kind, status)
        self.answers[key] = self.answers.get(key, 0) + 1
