"""A backend server that a test answers by hand or by a function."""

from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory


class Backend:
    """Implements `call_handler.CallHandler`; keeps the calls it was handed."""

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

    def die(self):
        self.network.stop_listening(self.port)

    def handle_call(self, call):
        self.calls.append(call)
        call.on_cancel = lambda: self.cancelled.append(call)
        if self.answer is not None:
            self.answer(call)


def answer_ok(call):
    call.answer(200, [], b"whole answer to " + call.head.target)
