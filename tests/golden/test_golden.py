"""Guards against unintended changes of behaviour in whole sessions.

Each scenario must give exactly the session recorded in `sessions/`, times
included. `make golden` records the sessions again; review the difference.
"""

import os
import pathlib

import pytest

from tests.golden import scenarios
from tests.golden import session as sessions

_FOLDER = pathlib.Path(__file__).parent / "sessions"
_IS_RECORDING = os.environ.get("CRANBERRYMUX_REWRITE_GOLDEN") == "1"


@pytest.mark.parametrize(
    "scenario", scenarios.SCENARIOS, ids=lambda scenario: scenario.__name__
)
def test_session_equals_its_recording(scenario):
    session = sessions.Session()
    scenario(session)
    text = f"# {scenario.__doc__}\n{session.text}"
    path = _FOLDER / f"{scenario.__name__}.txt"
    if _IS_RECORDING:
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    assert text == path.read_text(encoding="utf-8")
