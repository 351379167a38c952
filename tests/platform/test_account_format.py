"""Client accounts in the platform's routing configuration.

Guards against invalid accounts that are accepted unread, valid ones that are
refused, and errors that show a key.
"""

import json

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import configuration_format
from tests.platform import fleet

COLUMNS = ["name", "api_keys", "priority", "per_s", "burst"]
ROW = ["mill", ["secret-1", "secret-2"], 1, 304, 304.5]


def decode(*rows, columns=COLUMNS):
    values = json.loads(fleet.configuration(7))
    values["tenants"] = {"columns": columns, "rows": list(rows)}
    return configuration_format.decode(json.dumps(values).encode())


def test_decodes_accounts():
    document = decode(ROW, ["yard", ["secret-3"], None, None, None])
    assert document.accounts == (
        client_account.ClientAccount(
            "mill", ("secret-1", "secret-2"), 1, 304.0, 304.5
        ),
        client_account.ClientAccount("yard", ("secret-3",)),
    )


def test_a_configuration_without_the_table_has_no_accounts():
    document = configuration_format.decode(fleet.configuration(7))
    assert document.accounts == ()
    assert not any(each.is_public for each in document.routes)


@pytest.mark.parametrize(
    ("column", "value", "field"),
    [
        (0, "", "name"),
        (0, 5, "name"),
        (0, None, "name"),
        (1, "secret-1", "api_keys"),
        (1, ["secret-1", 5], "api_keys"),
        (1, [""], "api_keys"),
        (2, "secret", "priority"),
        (2, True, "priority"),
        (3, -1, "per_s"),
        (3, "many", "per_s"),
    ],
)
def test_an_invalid_field_is_an_error_with_row_and_field(column, value, field):
    row = [*ROW]
    row[column] = value
    error = decode(["yard", ["secret-3"], 1, 1, 1], row)
    assert isinstance(error, route_document.RouteDocumentError)
    assert "row 1" in error.detail
    assert field in error.detail
    assert "secret" not in error.detail


@pytest.mark.parametrize("value", [float("inf"), float("nan")])
def test_a_number_that_is_no_json_is_an_error_with_its_place(value):
    error = decode(["yard", ["secret-3"], 1, 1, value])
    assert isinstance(error, route_document.RouteDocumentError)
    assert "char" in error.detail
    assert "secret" not in error.detail


def test_a_row_of_another_length_is_an_error():
    error = decode(ROW[:3])
    assert isinstance(error, route_document.RouteDocumentError)
    assert "secret" not in error.detail
