"""Answers with a status below those of HTTP."""

import pytest

from tests.node import test_second_answers as second


@pytest.mark.parametrize(
    "make_way", [second.to_backend_server, second.to_other_node]
)
@pytest.mark.parametrize("status", ["000", "099"])
def test_answer_with_a_status_below_100_is_discarded(make_way, status):
    """Guards against such an answer to another call, whose id is not read."""
    way = make_way()
    way.receiver.on_request = second.answer
    second.check_is_served(way.ask("r-1"), "r-1")
    way.receiver.on_request = None
    client = way.ask("r-2", seconds=0.01)
    first, last = way.receiver.requests
    last.connection.send(
        second.encode(b"ok", headers=second.ids_of(first), status=f"{status} X")
    )
    way.run(0.01)
    if not last.connection.is_closed:
        second.answer(last)
    way.run(0.5)
    second.check_is_served_or_failed(client, "r-2")
