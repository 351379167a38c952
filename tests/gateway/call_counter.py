"""Counts the function calls that each node of a mesh makes for a request.

Unlike the processor time, the number is the same in every run. As with
cProfile, functions written in C count, too.
"""

import collections
import sys

from twisted.internet import base
from twisted.internet import task

from tests.fakes import memory_network

# Only the call into one of these counts: the reactor of a running node does
# something else there.
_REACTOR_FILES = frozenset(
    module.__file__ for module in (memory_network, task, base)
)
_RECEIVE = memory_network.MemoryTransport.receive.__code__


class CallCounter:
    """Counts the calls by node and function while it is entered.

    Attributes:
        calls: Number of calls of each function, by node.
    """

    def __init__(self, find_node):
        """Starts without calls.

        Args:
            find_node: Returns the name of the node that a transport belongs
                to; None if its calls do not count.
        """
        self.calls = collections.defaultdict(collections.Counter)
        self._find_node = find_node
        self._node = None
        self._reactor_depth = 0

    def __enter__(self):
        sys.setprofile(self._note)
        return self

    def __exit__(self, *exception):
        sys.setprofile(None)

    def count(self, node):
        """Returns the number of all calls at a node."""
        return self.calls[node].total()

    def _note(self, frame, event, argument):
        code = frame.f_code
        if code is _RECEIVE:
            is_entered = event == "call"
            if is_entered:
                self._node = self._find_node(frame.f_locals["self"])
            elif event == "return":
                self._node = None
            return
        if self._node is None:
            return
        is_reactor = code.co_filename in _REACTOR_FILES
        if event == "c_call" and not self._reactor_depth:
            self._add(argument.__qualname__)
        elif event == "call":
            if not self._reactor_depth:
                self._add(f"{code.co_filename}:{code.co_qualname}")
            self._reactor_depth += is_reactor
        elif event == "return":
            self._reactor_depth -= is_reactor

    def _add(self, name):
        self.calls[self._node][name] += 1
