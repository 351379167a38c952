"""A SIGHUP while a program starts.

Guards against a process that ends by it, before it handles the signal: the
settings of a machine may change at any moment.
"""

import importlib
import signal
import types

import pytest

from cranberrymux.platform import control_main
from cranberrymux.platform import node_main


@pytest.mark.parametrize("entry_point", [control_main, node_main])
def test_a_hang_up_is_ignored_while_the_program_is_imported(
    entry_point, monkeypatch
):
    seen = []

    def import_module(name):
        seen.append(signal.getsignal(signal.SIGHUP))
        return types.SimpleNamespace(main=lambda: 0)

    monkeypatch.setattr(importlib, "import_module", import_module)
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert entry_point.main() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen == [signal.SIG_IGN]
