"""Clients whose requests show which version the nodes hold."""

import http.client
import random
import threading
import time

from tests.soak import clients
from tests.soak.configuration import documents
from tests.soak.configuration import handling_checks

# Requests go to routes of so many of the versions that were sent last.
RECENT_CHANGES = 4
FIRST_SHARE = 0.25
MAXIMUM_PAUSE_S = 0.08


class ProbeClient(threading.Thread):
    """Sends requests on routes that are there, come or are gone.

    It keeps its connection to each machine until the node closes it.

    Attributes:
        probes: The requests so far.
        should_stop: Set to True to stop the thread.
    """

    def __init__(self, name, machines, history, seed):
        super().__init__(daemon=True)
        self.probes = []
        self.should_stop = False
        self._name = name
        self._machines = machines
        self._history = history
        self._random = random.Random(f"probes {seed} {name}")
        self._connections = {}

    def run(self):
        number = 0
        while not self.should_stop:
            number += 1
            machine = self._random.choice(self._machines)
            prefix = self._draw_prefix()
            request = clients.ask(
                self._get_connection(machine),
                machine,
                f"{self._name}-{number}",
                f"{prefix}leaf",
                prefix in documents.UNSAFE_PREFIXES,
            )
            self.probes.append(handling_checks.Probe(request, prefix))
            if request.status <= 0:
                self._connections.pop(machine.name).close()
            time.sleep(self._random.uniform(0.0, MAXIMUM_PAUSE_S))
        for connection in self._connections.values():
            connection.close()

    def _get_connection(self, machine):
        if machine.name not in self._connections:
            self._connections[machine.name] = http.client.HTTPConnection(
                *machine.client_address,
                timeout=clients.DEADLINE_S + clients.HANG_S,
            )
        return self._connections[machine.name]

    def _draw_prefix(self):
        recent = self._history.changes[-RECENT_CHANGES:]
        if not recent or self._random.random() < FIRST_SHARE:
            return self._random.choice(list(documents.FIRST_PREFIXES))
        if self._random.random() < 0.5:
            return self._random.choice(documents.MOVING_PREFIXES)
        routes = self._random.choice(recent).document.routes
        added = [prefix for prefix in routes if prefix.startswith("/add")]
        return self._random.choice(added)
