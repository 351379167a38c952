"""Keys of client accounts: lookup, validation and the lease on them.

Guards against keys that run after they were taken away, and against
configurations in which a key would name two accounts.
"""

import math

import pytest

from cranberrymux.decisions.accounts import account_index
from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import key_lease
from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from tests.gateway import mesh

MILL = client_account.ClientAccount("mill", ("secret-1", "secret-2"), 0, 5.0)
YARD = client_account.ClientAccount("yard", ("secret-3",))


def make_document(*accounts):
    document = mesh.make_document(mesh.make_route("read", "deep"))
    return document._replace(accounts=accounts)


def test_finds_an_account_by_each_of_its_keys():
    index = account_index.AccountIndex([MILL, YARD])
    assert index.find(b"secret-2") is MILL
    assert index.find(b"secret-3") is YARD
    assert index.find(b"secret-4") is None
    assert index.get("yard") is YARD
    assert not index.is_empty


def test_stores_and_reads_back_accounts():
    document = make_document(MILL, YARD)
    assert route_document.load(route_document.dump(document)) == document


@pytest.mark.parametrize(
    ("accounts", "fields"),
    [
        ((MILL, YARD._replace(keys=("secret-2",))), ("yard", "row 1", "keys")),
        ((MILL, YARD._replace(name="mill")), ("mill", "row 1", "name")),
    ],
)
def test_refuses_two_accounts_with_one_key_or_name(accounts, fields):
    invalid = document_check.check(make_document(*accounts), 0)
    assert invalid is not None
    assert all(field in invalid.detail for field in fields)
    assert "secret" not in invalid.detail


def test_accepts_accounts_without_keys_and_with_a_key_named_twice():
    accounts = (
        MILL._replace(keys=("secret-1", "secret-1")),
        YARD._replace(keys=()),
    )
    assert document_check.check(make_document(*accounts), 0) is None


def test_accepts_no_key_before_a_confirmation_and_after_its_lifetime():
    lease = key_lease.KeyLease(4.0)
    assert not lease.is_valid(0.0)
    lease.confirm(10.0)
    assert lease.is_valid(13.9)
    assert not lease.is_valid(14.0)


def test_a_late_answer_does_not_shorten_the_lease():
    lease = key_lease.KeyLease(4.0)
    lease.confirm(10.0)
    lease.confirm(8.0)
    assert lease.is_valid(13.9)


def test_an_infinite_lifetime_needs_no_confirmation():
    assert key_lease.KeyLease(math.inf).is_valid(0.0)
