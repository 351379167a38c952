"""Backend servers that break off a head and write another one behind it.

Guards against headers of one answer that are read beside the id of another.
"""

import pytest

from tests.gateway import conftest
from tests.gateway import test_replayed_refusals as replayed_refusals
from tests.gateway import test_second_answers as second

REFUSALS = replayed_refusals.REFUSALS
WHOLE = replayed_refusals.WHOLE
HEAD_BYTES = len(second.encode("r2", b""))


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("is_refusal_cut", [False, True])
def test_refusal_and_answer_that_run_together_refuse_nothing(
    refusal, is_refusal_cut
):
    """Guards against Not-Run of one answer beside the id of another."""
    replayed = REFUSALS[refusal]
    for length in range(1, len(replayed) if is_refusal_cut else HEAD_BYTES):
        mesh = conftest.make_mesh()
        backend = conftest.make_backend(mesh)
        client = second.ask(mesh, "r2", wait=0.01)
        (request,) = backend.requests
        if is_refusal_cut:
            request.connection.send(replayed[:length] + WHOLE)
        else:
            request.connection.send(WHOLE[:length] + replayed)
        mesh.network.run(0.01)
        request.connection.close()
        replayed_refusals.check_run_once(mesh, backend, client)


def test_answers_that_run_together_are_neither_of_them(mesh, backend):
    """Guards against the body of an answer whose id stands second."""
    backend.on_request = second.answer
    second.check_is_served(second.ask(mesh, "r1"), "r1")
    backend.on_request = None
    backend.requests.clear()
    client = second.ask(mesh, "r2", wait=0.01)
    cut_bytes = WHOLE.index(b"content-length")
    earlier = second.encode("r1", second.whole_body("r1"))
    backend.connections[0].send(WHOLE[:cut_bytes] + b"x: " + earlier)
    replayed_refusals.check_run_once(mesh, backend, client)
    assert client.statuses == [502]
