"""Numbers in headers that no program can use.

Guards against an unexpected error in the midst of a request, after which its
caller gets no answer: Python refuses to convert some thousands of digits, and
a float cannot hold some hundreds.
"""

import pytest

from cranberrymux.gateway import hop
from cranberrymux.gateway import load_report
from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module

NUMBERS = ["9" * 20, "9" * 400, "9" * 5000, "-1", "1e9", "\xb2"]


@pytest.mark.parametrize("number", NUMBERS)
def test_request_with_any_deadline_is_served(mesh, number):
    headers = [("Deadline-Ms", number)]
    assert mesh.ask(0, "/read/x", headers=headers).statuses == [200]


@pytest.mark.parametrize("number", NUMBERS)
def test_request_of_a_node_with_any_deadline_is_answered(mesh, number):
    client = raw_client.RawClient()
    mesh.network.connect(mesh.members[1].entry_port + 1, client)
    headers = [
        ("Deadline-Ms", number),
        ("Cranberrymux-Target", mesh.members[1].backend_id),
        ("Cranberrymux-Known-Limit", number),
    ]
    client.send(mesh_module.encode("/read/x", headers=headers))
    mesh.network.run(0.1)
    assert len(client.statuses) == 1


@pytest.mark.parametrize(
    "number", [number.encode("latin-1") for number in NUMBERS]
)
def test_values_from_other_nodes_are_decoded_or_ignored(number):
    headers = [
        (hop.LOAD, b"%b/%b/%b" % (number, number, number)),
        (hop.LEAVING, number),
        (hop.LIMIT_WAIT, number),
        (hop.RATE_LIMIT, number),
    ]
    assert load_report.decode_load(headers) is None
    assert hop.decode_leaving(headers) is None
    assert hop.decode_limit_wait(headers) == 0.0
    assert hop.decode_rate_limit(headers) is None


# Guards against an order of waiting requests that no number keeps.
@pytest.mark.parametrize("number", [b"nan", b"inf", b"-inf", b"1e999", b""])
def test_tree_context_with_a_number_that_is_not_finite_is_ignored(number):
    for value in (b"1/%b/0" % number, b"%b/1/0" % number):
        decoded = hop.read_tree_context({hop.TREE_CONTEXT: value})
        assert decoded == hop.DEFAULT_TREE_CONTEXT
