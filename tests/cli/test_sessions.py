"""Retries of an operator session over several control instances.

Guards against a change that is made twice: an answer may get lost after the
change was accepted, so a resend must carry the same change id. Also guards
against retrying requests that no control instance will accept, and against
figures of quotas from an instance that does not hand out tokens.
"""

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
NO_QUORUM = response.Response(503, {"detail": "no quorum"}, 5.0)
TIMED_OUT = transport_error.TransportError("a", "no answer in 3 s")


class ScriptedAdapter:
    """Records requests and returns answers in turn, repeating the last."""

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


def make_session(adapter):
    settings = sessions.OperatorSettings(("a", "b"), 3000)
    return sessions.OperatorSession(settings, adapter)


def await_result(coroutine):
    results = []
    deferred = defer.ensureDeferred(coroutine)
    deferred.addBoth(results.append)
    return results[0]


def test_change_is_resent_with_the_same_id_until_it_is_answered():
    adapter = ScriptedAdapter(TIMED_OUT, NO_QUORUM, TIMED_OUT, ACCEPTED)
    answer = await_result(make_session(adapter).apply("a: 1", 3, author="ann"))
    assert answer.verdict is change_verdict.ChangeVerdict.ACCEPTED
    assert answer.record.version == 4
    assert [request[0] for request in adapter.sent] == ["a", "b", "a", "b"]
    assert len({request[3]["change_id"] for request in adapter.sent}) == 1


def test_timeout_returns_the_last_error_of_each_instance():
    adapter = ScriptedAdapter(TIMED_OUT, NO_QUORUM)
    error = await_result(make_session(adapter).apply("a: 1", 3, author="ann"))
    assert error.reason is Reason.UNREACHABLE
    assert error.detail == "a: no quorum; b: no quorum"
    assert adapter.clock_s <= 3.0


def test_conflict_is_returned_as_an_answer_with_the_winning_change():
    conflict = response.Response(
        409, {"verdict": "conflict", "record": RECORD, "detail": "late"}
    )
    answer = await_result(
        make_session(ScriptedAdapter(conflict)).apply("b", 3, author="bob")
    )
    assert answer.verdict is change_verdict.ChangeVerdict.CONFLICT
    assert answer.record.author == "ann"


def test_request_refused_with_a_4xx_status_is_sent_only_once():
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
        adapter = ScriptedAdapter(response.Response(status, body))
        error = await_result(make_session(adapter).get())
        assert error == sessions.SessionError(reason, detail)
        assert len(adapter.sent) == 1


def test_rollback_submits_the_old_document_based_on_the_latest_version():
    adapter = ScriptedAdapter(
        response.Response(200, {"version": 2, "document": "old"}),
        response.Response(200, {"version": 3, "document": "new"}),
        ACCEPTED,
    )
    await_result(make_session(adapter).rollback(2, author="ann"))
    change = adapter.sent[-1][3]
    assert (change["document"], change["base_version"]) == ("old", 3)
    assert change["rollback_of"] == 2


def test_drain_asks_all_instances_and_fails_only_if_none_has_the_node():
    accepted = response.Response(200, {})
    missing = response.Response(404, {"detail": "no live node x"})
    assert (
        await_result(
            make_session(ScriptedAdapter(missing, accepted)).drain("x")
        )
        == 1
    )
    error = await_result(
        make_session(ScriptedAdapter(missing, missing)).drain("x")
    )
    assert error.reason is Reason.NOT_FOUND


def test_status_has_the_error_of_an_instance_that_did_not_answer():
    adapter = ScriptedAdapter(
        TIMED_OUT, response.Response(200, {"control_id": "c1"})
    )
    first, second = await_result(make_session(adapter).status())
    assert (first.status, first.detail) == (None, "no answer in 3 s")
    assert second.status == {"control_id": "c1"}


USE = {
    "account": "mill",
    "per_s": 10.0,
    "burst": 5.0,
    "bucket": 1.5,
    "out": 3,
    "spent": 7,
    "lapsed": 0,
    "denied": 2,
}
FOLLOWER = response.Response(
    200, {"leader": "c1", "is_owner": False, "accounts": []}
)
OWNER = response.Response(
    200, {"leader": "c1", "is_owner": True, "accounts": [USE]}
)


def test_use_of_quotas_comes_from_the_instance_that_owns_them():
    adapter = ScriptedAdapter(FOLLOWER, TIMED_OUT, FOLLOWER, OWNER)
    report = await_result(make_session(adapter).accounts())
    assert report.owner == "c1"
    assert report.accounts[0]._asdict() == USE
    assert [request[0] for request in adapter.sent] == ["a", "b", "a", "b"]


def test_use_of_quotas_without_an_owner_is_an_error_within_the_time_limit():
    adapter = ScriptedAdapter(FOLLOWER)
    error = await_result(make_session(adapter).accounts())
    assert error.reason is Reason.UNREACHABLE
    assert error.detail == "a: the leader is c1; b: the leader is c1"
    assert adapter.clock_s <= 3.0
