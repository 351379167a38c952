import pytest

from tests.standin import processes


@pytest.fixture
def start(tmp_path):
    started = []

    def start_one(name, **settings):
        started.append(processes.Standin(tmp_path, name, **settings))
        return started[-1]

    yield start_one
    for one in started:
        one.end()
