"""Questions of any content to `GET /explain`.

Guards against an exception in a node on a query that nobody foresaw, and
against answers that repeat what was given in place of a name or number.
"""

import json
from urllib import parse as url_parse

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.gateway.explanation import question as question_module
from tests.gateway import explanation_scene

SECRET = explanation_scene.KEY
FIELDS = strategies.sampled_from([*question_module.FIELDS, "key", ""])
VALUES = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(
        ["/read/x", "/open/", "mill", "free", "0", "9" * 15, "-1", SECRET]
    ),
)
PAIRS = strategies.lists(strategies.tuples(FIELDS, VALUES), max_size=7)


@pytest.fixture(scope="module")
def scene():
    made = explanation_scene.Scene()
    made.configure()
    return made


def explain(scene, query):
    question = question_module.parse(query)
    if isinstance(question, question_module.QuestionError):
        return question
    return scene.explainer.explain(question)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(PAIRS)
def test_any_query_is_answered(scene, pairs):
    query = url_parse.urlencode(
        [("path", "/open/x"), *pairs], errors="surrogatepass"
    )
    result = explain(scene, query.encode())
    if isinstance(result, question_module.QuestionError):
        assert result.status in (400, 404)
        assert SECRET not in result.detail
    else:
        json.dumps(result, allow_nan=False)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_answered(scene, query):
    explain(scene, query)


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.sampled_from(["account", "priority", "deadline_ms", "other"]),
    strategies.sampled_from(["/open/x", "/read/x", "/nothing"]),
)
def test_a_secret_in_a_wrong_field_is_not_repeated(scene, field, path):
    query = url_parse.urlencode({"path": path, field: SECRET})
    assert SECRET not in repr(explain(scene, query.encode()))
