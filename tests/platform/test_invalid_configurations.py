"""Configurations that cannot be read in full, and odd ones that can.

Guards against an invalid configuration that takes effect, and against one that
is answered like a failure, so that the operator sends it for ever.
"""

import json

import pytest

from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import configuration_format
from tests.platform import fleet

DIGITS = "9" * 400
LONE_SURROGATE = "\ud800"


def decode(change):
    """Decodes a valid configuration of version 7 after a change of it."""
    values = json.loads(fleet.configuration(7))
    change(values)
    return configuration_format.decode(json.dumps(values).encode())


def set_column(values, table, column, value):
    """Sets a column of the first row, adding the column if it is new."""
    columns, rows = values[table]["columns"], values[table]["rows"]
    if column not in columns:
        columns.append(column)
        for row in rows:
            row.append(None)
    rows[0][columns.index(column)] = value


def is_invalid(decoded):
    if isinstance(decoded, route_document.RouteDocumentError):
        return True
    return document_check.check(decoded, 6) is not None


def replace_text(old, new):
    text = fleet.configuration(7).decode()
    assert old in text
    return configuration_format.decode(text.replace(old, new, 1).encode())


# Guards against a configuration in force that is no JSON, as NaN was.
@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"weight": 90', '"weight": NaN'),
        ('"weight": 90', '"weight": Infinity'),
        ('"weight": 90', '"weight": -Infinity'),
        ('"h1", false', '"h1", NaN'),
        ('"version": 7', '"version": 7, "later": [NaN]'),
        ('"version": 7', '"version": 7, "later": {"a": {"b": Infinity}}'),
        ('"version": 7', '"version": 7, "version": 8'),
        ('"weight": 90', '"weight": 90, "weight": 10'),
        ('"version": 7', '"version": 7, "a": {"b": {"c": {"d":1, "d":1}}}'),
        ('"version": 7', f'"version": 7, "later": {"9" * 5000}'),
    ],
)
def test_text_that_is_no_json_is_refused(old, new):
    decoded = replace_text(old, new)
    assert isinstance(decoded, route_document.RouteDocumentError)


# Guards against an error without end: deep nesting was answered 503 each time.
@pytest.mark.parametrize("place", ["%s", '{"later": %s}', '[[["a", %s]]]'])
@pytest.mark.parametrize("levels", [300, 5000, 100_000])
@pytest.mark.parametrize(
    ("opened", "closed"), [("[", "]"), ('{"a":', "}"), ("[", ""), ('{"a":', "")]
)
def test_deep_nesting_is_refused(place, levels, opened, closed):
    nested = opened * levels + "1" + closed * levels
    decoded = configuration_format.decode((place % nested).encode())
    assert isinstance(decoded, route_document.RouteDocumentError)
    decoded = replace_text('"version": 7', f'"version": 7, "later": {nested}')
    assert isinstance(decoded, route_document.RouteDocumentError)


def test_nesting_of_a_hundred_levels_is_accepted():
    nested = "[" * 100 + "]" * 100
    decoded = replace_text('"version": 7', f'"version": 7, "later": {nested}')
    assert not is_invalid(decoded)
