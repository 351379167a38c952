"""Headers that nodes pass on to clients and backend servers.

Guards against a kept decision on a name that counts for other headers, too,
and against names of clients that fill the memory.
"""

from cranberrymux.gateway import hop
from cranberrymux.node.http import headers as headers_module

KEPT = [(b"accept", b"x"), (b"x-own", b"1"), (b"cranberrymux", b"1")]
DROPPED = [(b"te", b"x"), (hop.ROUTE, b"read"), (b"cranberrymux-new", b"1")]


def test_headers_between_nodes_and_of_one_connection_are_dropped():
    for headers in ([*KEPT, *DROPPED], headers_module.Headers(KEPT + DROPPED)):
        for _ in range(2):
            assert hop.get_forwardable(headers) == KEPT


def test_named_and_replaced_headers_are_dropped_only_where_they_are_named():
    named = [(b"connection", b"x-own"), *KEPT]
    for headers in (named, headers_module.Headers(named)):
        assert hop.get_forwardable(headers) == [KEPT[0], KEPT[2]]
        assert hop.get_forwardable(headers, (b"accept",)) == [KEPT[2]]
    assert hop.get_forwardable(headers_module.Headers(KEPT)) == KEPT


def test_names_of_clients_are_kept_up_to_a_limit():
    headers = [(b"x-%d" % number, b"1") for number in range(5000)]
    long = [(b"x" * 5000, b"1")]
    assert hop.get_forwardable(headers + long) == headers + long
    assert len(hop._is_passed_on) <= hop._KEPT_NAMES
    assert long[0][0] not in hop._is_passed_on
