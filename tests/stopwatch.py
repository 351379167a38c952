"""Measures how long a process is kept from its other work."""

import time

from twisted.internet import defer

from cranberrymux.control import stepwise


class Stopwatch:
    """Runs what is scheduled, and measures the longest uninterrupted step.

    Processor time is used, since other processes share the machine.
    """

    def __init__(self):
        self.calls = []
        self.longest_s = 0.0

    def callLater(self, delay_s, call, *arguments):
        assert delay_s == 0
        self.calls.append((call, arguments))

    def run(self, call, *arguments):
        result = self.measure(call, *arguments)
        while self.calls:
            call, arguments = self.calls.pop(0)
            self.measure(call, *arguments)
        return result

    def measure(self, call, *arguments):
        began_s = time.process_time()
        result = call(*arguments)
        self.longest_s = max(self.longest_s, time.process_time() - began_s)
        return result

    def run_steps(self, steps):
        results = []

        def begin():
            running = defer.ensureDeferred(stepwise.run(self, steps))
            running.addCallback(results.append)

        self.run(begin)
        return results[0]
