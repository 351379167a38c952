"""Client threads that send requests with keys of client accounts."""

import http.client
import itertools
import random
import threading
import time

from tests.soak import accounts
from tests.soak import clients

# True for paths of which a request must run once at most.
PATHS = {"/d/tree": False, "/e/leaf": False}
# Requests a second of all clients of an account; `hot` sends many times what
# its quota allows.
RATES = {"steady": 5.0, "hot": 40.0, "lowered": 20.0, "rotating": 15.0}
# Keys of earlier versions that are tried again.
OLD_KEYS = 2
OLD_KEY_SHARE = 0.7


class AccountClient(threading.Thread):
    """Sends the requests of one account, at all machines.

    Attributes:
        observed: The requests so far.
        should_stop: Set to True to stop the thread.
    """

    def __init__(self, account, machines, timeline, seed):
        super().__init__(daemon=True)
        self.observed = []
        self.should_stop = False
        self._account = account
        self._machines = machines
        self._timeline = timeline
        self._random = random.Random(f"account {seed} {account}")
        self._threads = []

    def run(self):
        next_s = time.monotonic()
        for number in itertools.count():
            if self.should_stop:
                break
            next_s += self._random.expovariate(RATES[self._account])
            time.sleep(max(next_s - time.monotonic(), 0.0))
            thread = threading.Thread(
                target=self._ask,
                args=(
                    self._random.choice(self._machines),
                    self._random.choice(list(PATHS)),
                    self._draw_key(),
                    number,
                ),
            )
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _draw_key(self):
        """Draws the present key, or one that was taken away."""
        version = self._timeline.version
        if self._random.random() < OLD_KEY_SHARE:
            version -= accounts.KEY_CHANGE_VERSIONS * self._random.randint(
                1, OLD_KEYS
            )
        return accounts.get_key(self._account, max(version, 0))

    def _ask(self, machine, path, key, number):
        connection = http.client.HTTPConnection(
            *machine.client_address, timeout=clients.DEADLINE_S + clients.HANG_S
        )
        request_id = f"{key}-{number}"
        observed = clients.ask(
            connection,
            machine,
            request_id,
            path,
            PATHS[path],
            {"X-Api-Key": key, "Tenant": "forged"},
        )
        connection.close()
        self.observed.append(observed)
