import pytest

from tests import known_red
from tests.standin import processes


def pytest_collection_modifyitems(items):
    known_red.mark(items)


def pytest_terminal_summary(terminalreporter):
    known_red.print_all(terminalreporter)


@pytest.fixture
def start(tmp_path):
    started = []

    def start_one(name, **settings):
        started.append(processes.Standin(tmp_path, name, **settings))
        return started[-1]

    yield start_one
    for one in started:
        one.end()
