"""Guards against headers between nodes that stop the node that reads them."""

import pytest

from cranberrymux.gateway import hop
from cranberrymux.node.http import headers as headers_module


@pytest.mark.parametrize(
    "value", [b"nan/1/0", b"inf/1/0", b"1/x/0", b"1/1", b""]
)
def test_invalid_context_is_that_of_a_request_without_one(value):
    headers = headers_module.Headers(((hop.TREE_CONTEXT, value),))
    assert hop.decode_tree_context(headers) == hop.DEFAULT_TREE_CONTEXT


def test_a_context_is_read_as_it_was_written():
    context = hop.TreeContext(17.5, 0.25, is_repeat=True, has_left_zone=True)
    value = hop.encode_tree_context(context)
    headers = headers_module.Headers(((hop.TREE_CONTEXT, value),))
    assert hop.decode_tree_context(headers) == context
