"""Configurations that cannot be read in full, and odd ones that can.

Guards against an invalid configuration that takes effect, and against one that
is answered like a failure, so that the operator sends it for ever.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.decisions.routes import route_table
from cranberrymux.platform import configuration_format
from tests import profiles
from tests.platform import fleet

DIGITS = "9" * 400
IDENTIFIER_CHARACTERS = 20
LONE_SURROGATE = "\ud800"


def shorten(value):
    """Names a parameter in the id of its test."""
    return repr(value)[:IDENTIFIER_CHARACTERS]


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


# Guards against fields that are kept unread: such a value was in force.
@pytest.mark.parametrize(
    ("table", "column", "value"),
    [
        ("routes", "attempts", "2"),
        ("routes", "attempts", 2.7),
        ("routes", "attempts", True),
        ("routes", "attempts", -1),
        ("routes", "attempts", 0),
        ("routes", "attempts", int(DIGITS)),
        ("routes", "attempts", 1e300),
        ("routes", "priority", "x"),
        ("routes", "priority", True),
        ("routes", "priority", 0.5),
        ("routes", "priority", int(DIGITS)),
        ("routes", "host", 7),
        ("routes", "host", ""),
        ("routes", "host", LONE_SURROGATE),
        ("routes", "name", ["r"]),
        ("routes", "name", "r\r\nx: y"),
        ("routes", "name", None),
        ("routes", "path_prefix", {"/": "/"}),
        ("routes", "path_prefix", "/no/slash"),
        ("routes", "path_prefix", "no-slash/"),
        ("routes", "kind", ["safe"]),
        ("routes", "kind", None),
        ("routes", "timeout", "0ms"),
        ("routes", "timeout", "600001ms"),
        ("routes", "timeout", DIGITS + "s"),
        ("routes", "timeout", -1),
        ("routes", "slo", DIGITS + "s"),
        ("routes", "slo", 5),
        ("routes", "public", "yes"),
        ("routes", "service", 7),
        ("routes", "service", "unknown"),
        ("routes", "split", "s1"),
        ("routes", "split", {}),
        ("routes", "split", 0),
        ("routes", "split", ["s1"]),
        ("routes", "split", [{"service": "s1"}]),
        ("routes", "split", [{"service": "s1", "weight": "9"}]),
        ("routes", "split", [{"service": "s1", "weight": True}]),
        ("routes", "split", [{"service": "s1", "weight": -0.1}]),
        ("routes", "split", [{"service": "s1", "weight": 0}]),
        ("routes", "split", [{"service": "s1", "weight": int(DIGITS)}]),
        ("routes", "split", [{"service": "s1", "weight": 1.7e308}] * 2),
        ("routes", "split", [{"service": None, "weight": 1}]),
        ("services", "name", 7),
        ("services", "name", ""),
        ("services", "name", "s1" + LONE_SURROGATE),
        ("services", "health", 7),
        ("services", "health", "/health HTTP/1.1\r\nx: y"),
        ("services", "health", "/a b"),
        ("services", "max_conns", "424"),
        ("services", "max_conns", -1),
        ("services", "max_conns", int(DIGITS)),
        ("services", "protocol", 1),
        ("services", "tls", "no"),
        ("tenants", "name", "mill\r\nx: y"),
        ("tenants", "name", LONE_SURROGATE),
        ("tenants", "api_keys", [LONE_SURROGATE]),
        ("tenants", "api_keys", "k"),
        ("tenants", "priority", int(DIGITS)),
        ("tenants", "per_s", int(DIGITS)),
        ("tenants", "burst", int(DIGITS)),
        ("tenants", "burst", [1]),
    ],
    ids=shorten,
)
def test_field_of_another_type_or_out_of_range_is_refused(table, column, value):
    def change(values):
        values["tenants"] = {"columns": ["name"], "rows": [["mill"]]}
        set_column(values, table, column, value)

    assert is_invalid(decode(change))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("max_header_bytes", -1),
        ("max_header_bytes", 0),
        ("max_header_bytes", 16384.5),
        ("max_header_bytes", "16384"),
        ("max_header_bytes", int(DIGITS)),
        ("max_body_bytes", -1),
        ("max_body_bytes", None),
        ("header_timeout", DIGITS + "s"),
        ("header_timeout", "0ms"),
        ("header_timeout", 3000),
        ("idle_timeout", "0s"),
        ("idle_timeout", None),
    ],
    ids=shorten,
)
def test_limit_of_another_type_or_out_of_range_is_refused(name, value):
    def change(values):
        values["limits"][name] = value

    assert is_invalid(decode(change))


# Guards against 503 for ever for a table of another shape.
@pytest.mark.parametrize(
    "table",
    [
        [],
        7,
        "x",
        {},
        {"columns": None, "rows": []},
        {"columns": "ab", "rows": ["xy"]},
        {"columns": ["name"], "rows": None},
        {"columns": ["name"], "rows": {"a": 1}},
        {"columns": ["name"], "rows": [{"s1": 1}]},
        {"columns": ["name"], "rows": ["x"]},
        {"columns": ["name", 7], "rows": []},
        {"columns": ["name", "name"], "rows": []},
        {"columns": [["name"]], "rows": []},
    ],
)
@pytest.mark.parametrize("name", ["routes", "services", "tenants"])
def test_table_of_another_shape_is_refused(name, table):
    assert is_invalid(decode(lambda values: values.update({name: table})))


@pytest.mark.parametrize(
    "version",
    [None, "7", True, 7.5, 0, -7, 6, int(DIGITS), 1 << 63],
    ids=shorten,
)
def test_version_of_another_type_or_out_of_range_is_refused(version):
    def change(values):
        values["version"] = version

    assert is_invalid(decode(change))


@pytest.mark.parametrize("text", ["[]", "null", "7", '"x"', "true", "{}"])
def test_json_that_is_no_configuration_is_refused(text):
    assert is_invalid(configuration_format.decode(text.encode()))


# Guards against the refusal of a valid configuration, which is sent for ever.
@pytest.mark.parametrize(
    ("table", "column", "value"),
    [
        ("routes", "attempts", 2.0),
        ("routes", "attempts", None),
        ("routes", "attempts", 1000),
        ("routes", "priority", 3.0),
        ("routes", "priority", None),
        ("routes", "priority", -1),
        ("routes", "timeout", "0.5s"),
        ("routes", "timeout", "600s"),
        ("routes", "slo", None),
        ("routes", "split", []),
        ("routes", "split", [{"service": "s1", "weight": 0.5, "later": []}]),
        ("routes", "split", [{"service": "s2", "weight": 1}] * 2),
        (
            "routes",
            "split",
            [{"service": "s1", "weight": 1}, {"service": "s2", "weight": 0}],
        ),
        ("routes", "public", True),
        ("routes", "name", "r2"),
        ("routes", "name", "Stra\u00dfe \u8def"),
        ("routes", "later", {"a": [1e300, None, LONE_SURROGATE, int(DIGITS)]}),
        ("services", "health", None),
        ("services", "max_conns", None),
        ("services", "max_conns", 424.0),
        ("services", "protocol", None),
        ("services", "protocol", "h2"),
        ("services", "tls", None),
        ("services", "tls", True),
        ("services", "later", [[]]),
    ],
)
def test_unusual_but_valid_field_is_accepted(table, column, value):
    assert not is_invalid(
        decode(lambda values: set_column(values, table, column, value))
    )


# Guards against a configuration that drops all routes by a null.
def test_null_in_place_of_the_routes_is_refused():
    assert is_invalid(decode(lambda values: values.update(routes=None)))


@pytest.mark.parametrize(
    "change",
    [
        {"later": {"a": [1, None, {}]}},
        {"tenants": None},
        {"version": (1 << 63) - 1},
        {"routes": {"columns": [], "rows": []}},
        {"routes": {"columns": ["name"], "rows": []}, "services": None},
    ],
)
def test_unusual_but_valid_configuration_is_accepted(change):
    assert not is_invalid(decode(lambda values: values.update(change)))


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from([int(DIGITS), 1e300, "1s", "s1", LONE_SURROGATE])
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["service", "weight", "columns", "rows"]),
            inner,
            max_size=4,
        )
    ),
)


# Guards against any value that is an exception here or at a node.
@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.sampled_from(["routes", "services", "tenants", "limits", ""]),
    strategies.sampled_from(
        [
            *("name", "host", "path_prefix", "kind", "timeout", "slo"),
            *("priority", "split", "attempts", "service", "public", "health"),
            *("max_conns", "protocol", "tls", "api_keys", "per_s", "burst"),
            *("max_body_bytes", "idle_timeout", "routes", "services"),
            *("tenants", "limits", "version", "later"),
        ]
    ),
    JSON_VALUES,
)
def test_any_value_is_refused_or_loaded_by_nodes(table, name, value):
    def change(values):
        values["tenants"] = {"columns": ["name"], "rows": [["mill"]]}
        if table in ("", "limits"):
            (values[table] if table else values)[name] = value
        else:
            set_column(values, table, name, value)

    decoded = decode(change)
    if not is_invalid(decoded):
        loaded = route_document.load(route_document.dump(decoded))
        assert loaded == decoded
        route_table.RouteTable(loaded)
