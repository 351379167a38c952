"""Client threads that send requests and record the answers."""

import http.client
import random
import threading
import time
from typing import NamedTuple

from tests.soak import answers

DEADLINE_S = 2.0
# A request without an answer for so long after its deadline counts as hung.
HANG_S = 1.5
# Clients that wait for the next multiple of it send at the same time.
TICK_S = 0.08
# True for paths of which a request must run once at most.
PATHS = {"/a/tree": False, "/b/tree": True, "/c/leaf": False}


class ObservedRequest(NamedTuple):
    """One request and its answer, as recorded by the client.

    Attributes:
        request_id: Id of the request, unique within a run of the soak.
        machine: Name of the machine to which it was sent.
        is_at_most_once: True if it must run once at most.
        sent_s: Time of sending, monotonic seconds.
        ended_s: Time of its answer or failure, monotonic seconds.
        status: Status code; 0 for a lost connection, -1 for a timeout.
        answer: The answer; None if the whole of it was not received.
    """

    request_id: str
    machine: str
    is_at_most_once: bool
    sent_s: float
    ended_s: float
    status: int
    answer: answers.Answer | None


class Client(threading.Thread):
    """Sends 1, 5 or 20 requests on each connection, then opens another.

    Half of the requests are sent at the same time as those of other clients,
    so that some wait for a slot and a connection of the backend server.

    Attributes:
        observed: The requests so far.
        should_stop: Set to True to stop the thread.
    """

    def __init__(self, name, machines, seed):
        super().__init__(daemon=True)
        self.observed = []
        self.should_stop = False
        self._name = name
        self._machines = machines
        self._random = random.Random(f"{seed} {name}")

    def run(self):
        number = 0
        while not self.should_stop:
            machine = self._random.choice(self._machines)
            connection = http.client.HTTPConnection(
                *machine.client_address, timeout=DEADLINE_S + HANG_S
            )
            for _ in range(self._random.choice((1, 5, 20))):
                number += 1
                request = self._ask(
                    connection, machine, f"{self._name}-{number}"
                )
                self.observed.append(request)
                if request.status <= 0 or self.should_stop:
                    break
                self._pause()
            connection.close()
            if request.status <= 0:
                time.sleep(0.05)

    def _pause(self):
        if self._random.random() < 0.5:
            time.sleep(TICK_S - time.monotonic() % TICK_S)
        else:
            time.sleep(self._random.uniform(0.0, 0.06))

    def _ask(self, connection, machine, request_id):
        path = self._random.choice(list(PATHS))
        return ask(connection, machine, request_id, path, PATHS[path])


def ask(
    connection, machine, request_id, path, is_at_most_once, more_headers=None
):
    """Sends a request, a POST if it must run once at most, and waits."""
    headers = {
        **(more_headers or {}),
        "Host": "h.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    sent_s = time.monotonic()
    status, answer = 0, None
    try:
        method = "POST" if is_at_most_once else "GET"
        connection.request(method, path, headers=headers)
        answer = answers.read(connection)
        status = answer.status
    except TimeoutError:
        status = -1
    except (OSError, http.client.HTTPException):
        status = 0
    return ObservedRequest(
        request_id,
        machine.name,
        is_at_most_once,
        sent_s,
        time.monotonic(),
        status,
        answer,
    )


def sleep_until_stopped(thread, span_s):
    """Sleeps, or returns early once the thread should stop."""
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s and not thread.should_stop:
        time.sleep(min(0.05, span_s))
