"""Fixtures for all tests, and the hooks for KNOWN-RED.txt."""

import pytest

from tests import known_red
from tests.standin import processes


def pytest_collection_modifyitems(items):
    known_red.mark_expected_failures(items)


def pytest_terminal_summary(terminalreporter):
    known_red.print_node_ids(terminalreporter)


@pytest.fixture
def start_standin(tmp_path):
    """Starts stand-in processes, which are killed after the test."""
    standins = []

    def start_process(name, **settings):
        standins.append(processes.Standin(tmp_path, name, **settings))
        return standins[-1]

    yield start_process
    for standin in standins:
        standin.kill()
