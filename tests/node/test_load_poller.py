"""The load that a backend server answers.

Guards against a load that is read from the answer of a backend server in
trouble.
"""

import pytest
import treq
from twisted.internet import defer
from twisted.internet import task

from cranberrymux.models import socket_address
from cranberrymux.node import backend_server
from cranberrymux.node import load_poller


class Answer:
    """An answer with a status and the JSON object of its body."""

    def __init__(self, code, values):
        self.code = code
        self._values = values

    def json(self):
        return defer.succeed(self._values)


def make_backend():
    address = socket_address.SocketAddress("127.0.0.1", 9001)
    return backend_server.BackendServer("a", address, 1, {}, (), "/load")


def poll(monkeypatch, answer):
    """Returns the loads that a poller reads from an answer."""

    class Client:
        def __init__(self, agent):
            pass

        def get(self, url, timeout):
            return defer.succeed(answer)

    monkeypatch.setattr(treq.client, "HTTPClient", Client)
    clock = task.Clock()
    loads = []
    poller = load_poller.LoadPoller(clock, make_backend, loads.append)
    poller._loop.clock = clock
    poller.start()
    clock.advance(1.0)
    return loads


def test_load_is_read(monkeypatch):
    assert poll(monkeypatch, Answer(200, {"load": 0.5})) == [0.5]


@pytest.mark.parametrize("code", [0, 99, 500, 503])
def test_load_of_an_answer_with_another_status_is_not_read(monkeypatch, code):
    assert poll(monkeypatch, Answer(code, {"load": 0.5})) == []
