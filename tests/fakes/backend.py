"""A backend server in memory whose answers a test determines."""

from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory


class Backend:
    """Listens on a port of a `MemoryNetwork` and records the calls it gets.

    Implements `call_handler.CallHandler`.

    Attributes:
        answer: Called with each call to answer it; None to leave calls open,
            so that a test can answer them later.
        calls: All calls received, in order.
        cancelled: Calls whose caller closed the connection, in order.
    """

    def __init__(self, network, port, answer=None):
        self.network = network
        self.port = port
        self.answer = answer
        self.calls = []
        self.cancelled = []
        self.factory = server_factory.ServerFactory(self, limits.Limits())
        self.start()

    def start(self):
        self.network.listen(self.port, self.factory)

    def crash(self):
        self.network.stop_listening(self.port)

    def handle_call(self, call):
        self.calls.append(call)
        call.on_cancel = lambda: self.cancelled.append(call)
        if self.answer is not None:
            self.answer(call)


def answer_ok(call):
    call.answer(200, [], b"whole answer to " + call.head.target)
