"""What the calls of a request count as that was sent once more.

Guards against more repeats than the shared budget has: calls of a run that was
itself a repeat count as repeats at the service that they call.
"""

from cranberrymux.decisions.routes import route
from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import hop
from cranberrymux.gateway import running_request
from tests.gateway import mesh as mesh_module


def make_attempts():
    mesh = mesh_module.Mesh("front", "deep")
    once = mesh_module.make_route(
        "write", "deep", repeatability=route.Repeatability.ONCE
    )
    mesh.configure(once)
    parts = mesh.members[0].gateway._parts
    return attempts_module.Attempts(parts, once, "deep")


def is_repeat(attempts):
    return hop.decode_tree_context(attempts.headers()).is_repeat


def test_first_sending_is_no_repeat():
    attempts = make_attempts()
    assert attempts.choose(0.0) is not None
    assert not is_repeat(attempts)


def test_sending_after_a_lost_answer_is_a_repeat():
    attempts = make_attempts()
    attempts.note_lost(attempts.choose(0.0))
    assert is_repeat(attempts)


def test_sending_after_a_refusal_by_the_backend_server_is_a_repeat():
    attempts = make_attempts()
    attempts.note_refused(attempts.choose(0.0))
    assert is_repeat(attempts)


def test_the_budget_knows_how_many_calls_the_caller_still_needs(monkeypatch):
    attempts = make_attempts()
    candidates = []

    def take(candidate, now_s):
        candidates.append(candidate)
        return False

    monkeypatch.setattr(attempts._parts.repeats, "take", take)
    parent = running_request.RunningRequest(hop.DEFAULT_TREE_CONTEXT, 4.0)
    attempts.note_refused(attempts.choose(0.0))
    for calls in range(4):
        attempts.parent = parent if calls else None
        attempts.take_repeat_after_refusal(0.0)
        parent.begin_call(0.0)
        parent.end_call(0.0, is_failed=False)
    assert [x.remaining_calls for x in candidates] == [1, 3, 2, 1]
