"""A session tries one control instance after the other, by one change id."""

from twisted.internet import defer

from cranberrymux import sessions
from cranberrymux.adapters import response
from cranberrymux.adapters import transport_error
from cranberrymux.decisions.configuration import change_verdict

Reason = sessions.SessionErrorReason
RECORD = {
    "version": 4,
    "base_version": 3,
    "change_id": "x",
    "author": "ann",
    "at_ms": 1,
    "difference": "+a",
    "rollback_of": 0,
}
ACCEPTED = response.Response(
    200, {"verdict": "accepted", "record": RECORD, "detail": ""}
)
BUSY = response.Response(503, {"detail": "no quorum"}, 5.0)
LOST = transport_error.TransportError("a", "no answer in 3 s")


class Script:
    """Gives the answers in turn and keeps what was sent."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []
        self.clock_s = 0.0

    async def send(self, address, method, path, body=None):
        self.sent.append((address, method, path, body))
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    async def pause(self, seconds):
        self.clock_s += seconds

    def now_s(self):
        return self.clock_s


def make_session(script):
    settings = sessions.OperatorSettings(("a", "b"), 3000)
    return sessions.OperatorSession(settings, script)


def run(coroutine):
    results = []
    waiting = defer.ensureDeferred(coroutine)
    waiting.addBoth(results.append)
    return results[0]


def test_resends_a_change_with_the_same_id_until_it_is_answered():
    script = Script(LOST, BUSY, LOST, ACCEPTED)
    answer = run(make_session(script).apply("a: 1", 3, author="ann"))
    assert answer.verdict is change_verdict.ChangeVerdict.ACCEPTED
    assert answer.record.version == 4
    assert [one[0] for one in script.sent] == ["a", "b", "a", "b"]
    assert len({one[3]["change_id"] for one in script.sent}) == 1


def test_gives_up_in_time_and_says_what_each_instance_said():
    script = Script(LOST, BUSY)
    error = run(make_session(script).apply("a: 1", 3, author="ann"))
    assert error.reason is Reason.UNREACHABLE
    assert error.detail == "a: no quorum; b: no quorum"
    assert script.clock_s <= 3.0


def test_a_conflict_is_an_answer():
    conflict = response.Response(
        409, {"verdict": "conflict", "record": RECORD, "detail": "late"}
    )
    answer = run(make_session(Script(conflict)).apply("b", 3, author="bob"))
    assert answer.verdict is change_verdict.ChangeVerdict.CONFLICT
    assert answer.record.author == "ann"


def test_wrong_requests_are_not_repeated():
    for status, body, reason, detail in (
        (401, {"detail": "wrong token"}, Reason.WRONG_TOKEN, "wrong token"),
        (404, {"detail": "not kept"}, Reason.NOT_FOUND, "not kept"),
        (
            400,
            {"line": 3, "key": "classes", "expected": "a list"},
            Reason.INVALID,
            "3: classes: expected a list",
        ),
    ):
        script = Script(response.Response(status, body))
        error = run(make_session(script).get())
        assert error == sessions.SessionError(reason, detail)
        assert len(script.sent) == 1


def test_rollback_is_a_new_change_built_on_the_last_version():
    script = Script(
        response.Response(200, {"version": 2, "document": "old"}),
        response.Response(200, {"version": 3, "document": "new"}),
        ACCEPTED,
    )
    run(make_session(script).rollback(2, author="ann"))
    sent = script.sent[-1][3]
    assert (sent["document"], sent["base_version"]) == ("old", 3)
    assert sent["rollback_of"] == 2


def test_drain_is_told_to_all():
    found = response.Response(200, {})
    missing = response.Response(404, {"detail": "no live node x"})
    assert run(make_session(Script(missing, found)).drain("x")) == 1
    error = run(make_session(Script(missing, missing)).drain("x"))
    assert error.reason is Reason.NOT_FOUND


def test_status_tells_who_did_not_answer():
    script = Script(LOST, response.Response(200, {"control_id": "c1"}))
    first, second = run(make_session(script).status())
    assert (first.status, first.detail) == (None, "no answer in 3 s")
    assert second.status == {"control_id": "c1"}
