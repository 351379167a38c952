"""Cuts of the links among instances, each for as long as a context."""

import collections
import contextlib
import itertools
import threading

from tests.soak.configuration import link_faults
from tests.soak.configuration import markers as markers_module


class Links:
    """Tells each process whose bytes it can't hear; cuts may overlap."""

    def __init__(self):
        self._lock = threading.Lock()
        self._cuts = collections.Counter()

    @contextlib.contextmanager
    def cut(self, hearers, speakers):
        """Lets processes hear nothing from others, one way.

        Args:
            hearers: Settings files of the processes that hear nothing.
            speakers: Addresses that they can't hear.
        """
        pairs = collections.Counter(itertools.product(hearers, speakers))
        self._change(pairs)
        try:
            yield
        finally:
            self._change(dict.fromkeys(pairs, -1))

    def _change(self, pairs):
        with self._lock:
            for pair, count in pairs.items():
                self._cuts[pair] += count
            for hearer in {hearer for hearer, _ in pairs}:
                markers_module.Markers(hearer).write(
                    link_faults.DEAF,
                    " ".join(
                        speaker
                        for (other, speaker), count in self._cuts.items()
                        if other == hearer and count > 0
                    ),
                )
