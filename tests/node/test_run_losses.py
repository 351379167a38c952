"""What counts as the death of a backend server.

Guards against requests that become suspects because a connection broke, a
server was silent for a while or left as planned, and against deaths that are
not seen (issue 23).
"""

import pytest
from twisted.internet import error
from twisted.python import failure

from cranberrymux.models import socket_address
from cranberrymux.node import run_losses
from tests.fakes import memory_network

ADDRESS = socket_address.SocketAddress("10.0.0.1", 80)


class Transport:
    def loseConnection(self):
        pass


class Setting:
    """Losses of runs on a backend server whose answer to a probe is given.

    Attributes:
        deaths: Evidence of the recorded deaths.
        survivors: Ticket ids of runs that were lost for another cause.
        explained: What the owners of the lost runs were told.
    """

    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.deaths = []
        self.survivors = []
        self.explained = []
        self._probes = []
        self.network.connectTCP = lambda host, port, factory, timeout: (
            self._probes.append(factory)
        )
        self.losses = run_losses.RunLosses(
            memory_network.VirtualClock(self.network),
            self.network,
            lambda evidence, is_past: self.deaths.append(evidence),
            self.survivors.append,
        )

    def lose(self, *ticket_ids):
        for ticket_id in ticket_ids:
            self.losses.add(ticket_id, ADDRESS, self.explained.append)

    def answer_probe(self, cause=None):
        """Accepts the probe, or fails it with an error of Twisted."""
        (factory,) = self._probes
        self._probes.clear()
        if cause is not None:
            factory.clientConnectionFailed(None, failure.Failure(cause))
            return
        made = factory.buildProtocol(None)
        made.transport = Transport()
        made.connectionMade()


def test_one_death_explains_all_runs_that_were_lost():
    setting = Setting()
    setting.lose("1", "2", "3")
    setting.answer_probe(error.ConnectionRefusedError())
    assert setting.deaths == ["refused-connection"]
    assert setting.explained == [True] * 3
    setting.losses.process_replaced()
    assert len(setting.deaths) == 1


@pytest.mark.parametrize(
    "cause", [None, error.TimeoutError(), error.ConnectError()]
)
def test_broken_connection_or_silence_is_no_death(cause):
    setting = Setting()
    setting.lose("1")
    setting.answer_probe(cause)
    assert setting.explained == [False]
    setting.losses.process_confirmed()
    assert setting.survivors == ["1"]
    setting.losses.process_replaced()
    assert not setting.deaths


@pytest.mark.parametrize("cause", [None, error.TimeoutError()])
def test_other_process_in_its_place_shows_that_it_died(cause):
    setting = Setting()
    setting.lose("1")
    setting.answer_probe(cause)
    setting.network.run(0.9 * run_losses.UNEXPLAINED_S)
    setting.losses.process_replaced()
    assert setting.deaths == ["replaced"]
    assert setting.explained == [False]


def test_loss_long_before_it_was_replaced_is_no_death():
    setting = Setting()
    setting.lose("1")
    setting.answer_probe()
    setting.network.run(1.1 * run_losses.UNEXPLAINED_S)
    setting.losses.process_replaced()
    assert not setting.deaths
    assert setting.survivors == ["1"]


def test_planned_end_is_no_death():
    setting = Setting()
    setting.losses.is_end_planned = lambda: True
    setting.lose("1")
    setting.answer_probe(error.ConnectionRefusedError())
    assert not setting.deaths
    assert setting.explained == [False]
    assert setting.survivors == ["1"]


def test_owner_is_told_that_no_connection_is_accepted():
    setting = Setting()
    calls = []
    setting.losses.on_dead = lambda: calls.append(1)
    setting.lose("1")
    setting.answer_probe(error.ConnectionRefusedError())
    assert calls == [1]
