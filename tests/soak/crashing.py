"""Requests that crash each backend server that runs them, and their check."""

import collections
import http.client
import itertools
import random
import threading

from tests.soak import clients

# True for paths of which a request must run once at most.
PATHS = {"/c/crash": False, "/b/crash": True}
INTERVAL_S = 0.3
# The first requests of a path come at several machines at the same time.
FIRST_REQUESTS = 3
STABILITY_WINDOW_S = 3.0
MAXIMUM_LATE_ARRIVALS = 3


class Caller(threading.Thread):
    """Sends one crashing request, with new ids, at random machines.

    Attributes:
        observed: The requests so far.
        should_stop: Set to True to stop the thread.
    """

    def __init__(self, path, machines, seed):
        super().__init__(daemon=True)
        self.observed = []
        self.should_stop = False
        self._path = path
        self._machines = machines
        self._random = random.Random(f"crashing {seed} {path}")

    def run(self):
        numbers = itertools.count()
        threads = []
        while not self.should_stop:
            count = 1 if threads else FIRST_REQUESTS
            for _ in range(count):
                request_id = f"x{self._path.replace('/', '-')}-{next(numbers)}"
                machine = self._random.choice(self._machines)
                threads.append(
                    threading.Thread(
                        target=self._ask, args=(machine, request_id)
                    )
                )
                threads[-1].start()
            clients.sleep_until_stopped(self, INTERVAL_S)
        for thread in threads:
            thread.join()

    def _ask(self, machine, request_id):
        connection = http.client.HTTPConnection(
            *machine.client_address, timeout=clients.DEADLINE_S + clients.HANG_S
        )
        observed = clients.ask(
            connection, machine, request_id, self._path, PATHS[self._path]
        )
        connection.close()
        self.observed.append(observed)


def find_violations(records):
    """Returns a message for each request that came too often.

    Later than `STABILITY_WINDOW_S` after a request has crashed its third
    backend server, it may reach backend servers `MAXIMUM_LATE_ARRIVALS` times,
    over all machines together.

    Args:
        records: Records of the backend servers, by name of the machine.
    """
    crashes_s = collections.defaultdict(list)
    arrivals_s = collections.defaultdict(list)
    for line in itertools.chain.from_iterable(records.values()):
        if line["event"] == "crash":
            crashes_s[line["path"]].append(line["at"])
        elif line["event"] == "arrive":
            arrivals_s[line["path"]].append(line["at"])
    for path, times_s in crashes_s.items():
        if len(times_s) < 3:
            continue
        from_s = sorted(times_s)[2] + STABILITY_WINDOW_S
        late = sum(at > from_s for at in arrivals_s[path])
        if late > MAXIMUM_LATE_ARRIVALS:
            yield (
                f"BUDGET {path} reached backend servers {late} times more,"
                f" {len(times_s)} crashed"
            )
