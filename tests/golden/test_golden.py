"""Compares whole sessions with the files beside this one.

`make golden` writes the files anew; their difference is to be read.
"""

import os
import pathlib

import pytest

from tests.golden import scenarios
from tests.golden import session as sessions

_FOLDER = pathlib.Path(__file__).parent / "sessions"
_IS_REWRITING = os.environ.get("CRANBERRYMUX_REWRITE_GOLDEN") == "1"


@pytest.mark.parametrize(
    "scenario", scenarios.SCENARIOS, ids=lambda one: one.__name__
)
def test_session_is_as_written(scenario):
    session = sessions.Session()
    scenario(session)
    text = f"# {scenario.__doc__}\n{session.text}"
    path = _FOLDER / f"{scenario.__name__}.txt"
    if _IS_REWRITING:
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    assert text == path.read_text(encoding="utf-8")
