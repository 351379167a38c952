"""`GET /explain` of a node.

Guards against an explanation that differs from what the next request meets,
against a question that takes a token, a turn or a draw from a real request,
and against answers from which a key of a client account can be read.
"""

import json
import random

import pytest
import structlog

from cranberrymux.decisions.accounts import key_lease
from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import entry
from cranberrymux.models import endpoint_speed
from tests.gateway import explanation_scene
from tests.gateway import mesh as mesh_module

Scene = explanation_scene.Scene
KEY = explanation_scene.KEY


@pytest.fixture
def scene():
    made = Scene()
    made.configure()
    return made


def disturb(scene, generator):
    """Changes what the node knows of one endpoint."""
    now_s = scene.parts.clock.now_s()
    service = generator.choice(["deep", "wide"])
    view = generator.choice(
        list(scene.parts.endpoints._services[service].values())
    )
    event = generator.randrange(5)
    if event == 0:
        load = generator.randrange(40)
        for each in scene.parts.endpoints._services[service].values():
            if each.record.zone == view.record.zone:
                each.note_reported_load(now_s, load)
    elif event == 1:
        speed = endpoint_speed.EndpointSpeed(
            10, generator.uniform(0.02, 0.1), 0.9, 1.0
        )
        view.note_reported_speed(now_s, speed)
    elif event == 2:
        view.note_outcome(now_s, generator.random() < 0.4)
    elif event == 3:
        view.note_not_serving(now_s)
    else:
        view.note_reported_slowness(now_s, generator.uniform(1.0, 8.0))


@pytest.mark.parametrize("seed", range(4))
def test_the_next_request_goes_where_the_explanation_says(scene, seed):
    generator = random.Random(seed)
    chosen = set()
    for _ in range(300):
        disturb(scene, generator)
        path = generator.choice(["/read/x", "/open/x", "/split/x"])
        account = "free" if path == "/read/x" else ""
        explained = scene.explain(path, account=account)
        _, endpoint = scene.serve(path, account)
        assert explained["outcome"] == "sent"
        assert explained["chosen"] == endpoint
        chosen.add((explained["service"], endpoint))
        scene.network.run(generator.choice([0.0, 0.01, 0.05]), step_s=0.005)
    assert len({name for _, name in chosen}) >= 5
    assert {service for service, _ in chosen} == {"deep", "wide"}


@pytest.mark.parametrize(
    ("path", "account"), [("/open/x", ""), ("/read/x", "free")]
)
def test_a_refusal_is_that_of_the_next_request(scene, path, account):
    scene.refuse_trees(account=account)
    outcomes = []
    for _ in range(60):
        explained = scene.explain(path, account=account)
        call, endpoint = scene.serve(path, account)
        outcomes.append(explained["outcome"])
        assert explained["chosen"] == endpoint
        if explained["outcome"] == "sent":
            assert call.status == 0
        else:
            check_refusal(explained["refusal"], call)
            assert explained["refusal"]["reason"] == "shed"
    assert {"sent", "refused"} == set(outcomes)
    admission = explained["admission"]
    assert admission["limited_by"] == "deep"
    assert 0.0 < admission["admitted_share"] < 1.0
    assert admission["services"][0]["share"] < 1.0
    assert admission["services"][0]["share_in_force"] < 1.0
    assert (admission["services"][0]["account_share"] is None) == (not account)


def check_refusal(refusal, call):
    assert refusal["status"] == call.status
    body = json.loads(call.answer_body)
    assert refusal["error"] == body["error"]
    assert refusal["reason"] == body.get("detail", body["error"])
    retry_after = dict(call.answer_headers).get(b"retry-after")
    if retry_after is None:
        assert refusal["retry_after_s"] is None
    else:
        assert refusal["retry_after_s"] == float(retry_after)


def suspend_lease(scene):
    scene.parts.key_lease = key_lease.KeyLease(1.0)


def stop(scene):
    scene.parts.stop_admission.begin(scene.parts.clock.now_s() - 4.0, 4.5)


def quarantine(scene):
    made = fingerprint.make(
        "", "", "GET", mesh_module.HOST + "/open/x", body=b"", body_bytes=0
    )
    scene.parts.quarantine.merge_from_caller(
        [
            suspect_report.SuspectReport(made.digest_key, kind, f"e{number}")
            for kind in (
                report_kind.ReportKind.DEATH,
                report_kind.ReportKind.SOLE_DEATH,
            )
            for number in range(3)
        ]
    )
    # A look at the record later than its last use would show in it.
    scene.network.run(0.5)


def ignore(scene):
    del scene


@pytest.mark.parametrize(
    ("prepare", "path", "more", "status", "reason"),
    [
        (ignore, "/read/x", {}, 401, "unknown-key"),
        (
            suspend_lease,
            "/read/x",
            {"account": "mill"},
            503,
            entry.NO_KEY_LEASE,
        ),
        (ignore, "/none/x", {}, 503, "no-endpoint"),
        (ignore, "/open/x", {"deadline_ms": 0}, 503, "expired"),
        (stop, "/open/x", {}, 503, "stopping"),
        (quarantine, "/open/x", {}, 503, "quarantined"),
    ],
)
def test_says_by_what_a_request_is_refused(
    scene, prepare, path, more, status, reason
):
    prepare(scene)
    before = scene.take_snapshot()
    explained = scene.explain(path, **more)
    assert scene.take_snapshot() == before
    call, endpoint = scene.serve(path, **more)
    assert endpoint is None
    assert explained["outcome"] == "refused"
    assert explained["chosen"] is None
    assert explained["refusal"]["status"] == status
    assert explained["refusal"]["reason"] == reason
    check_refusal(explained["refusal"], call)


def test_an_account_without_a_key_is_refused_as_no_request_can_have_it(scene):
    assert scene.explain(account="bare")["refusal"]["status"] == 401


def test_says_that_there_is_no_configuration_yet():
    explained = Scene().explain(account=KEY)
    assert explained["refusal"]["reason"] == entry.NO_CONFIGURATION
    assert explained["route"] is None
    assert KEY not in json.dumps(explained)


def test_a_request_without_a_token_waits_and_is_then_sent_or_refused(scene):
    scene.owner.is_unreachable = True
    explained = scene.explain(account="mill")
    assert explained["outcome"] == "waits-for-token"
    # The owner is silent: half of the 1 s to the deadline.
    assert explained["wait_ms"] == 500.0
    assert explained["refusal"]["status"] == 429
    assert explained["account"]["tokens_held"] == 0
    assert explained["priority"] == 0
    assert explained["admission"]["account"] == "mill"
    chosen = explained["chosen"]
    scene.owner.is_unreachable = False
    call, endpoint = scene.serve(account="mill")
    assert (call.status, endpoint) == (0, None)
    scene.network.run(0.05, step_s=0.001)
    assert call.status == 200
    assert call.answer_body
    assert chosen in scene.count_outstanding()


def test_shows_tokens_held_and_takes_none(scene):
    scene.serve(account="mill")
    scene.network.run(0.1, step_s=0.01)
    held = scene.explain(account="mill")["account"]["tokens_held"]
    assert held >= 1
    messages = len(scene.owner.requests)
    for _ in range(20):
        assert scene.explain(account="mill")["account"]["tokens_held"] == held
    assert len(scene.owner.requests) == messages


QUESTIONS = [
    {"path": "/open/x"},
    {"path": "/split/x"},
    {"path": "/none/x"},
    {"path": "/nothing"},
    {"account": "mill"},
    {"account": "free", "deadline_ms": 200},
    {"account": "nobody"},
    {"account": "free", "priority": 7},
    {"host": "other.example"},
    {},
]


@pytest.mark.parametrize("question", QUESTIONS)
def test_asking_changes_and_writes_nothing(scene, question):
    scene.refuse_trees()
    for view in scene.parts.endpoints._services["deep"].values():
        if view.record.zone == "z0":
            view.note_reported_load(scene.parts.clock.now_s(), 40)
    scene.serve(account="mill")
    sent = [len(member.backend.calls) for member in scene.mesh.members]
    for has_waiting in (False, True):
        if has_waiting:
            scene.owner.is_unreachable = True
            scene.network.run(5.0, step_s=0.05)
            scene.serve(account="mill")
            sent = [len(member.backend.calls) for member in scene.mesh.members]
        snapshot = scene.take_snapshot()
        timers = len(scene.network.getDelayedCalls())
        with structlog.testing.capture_logs() as lines:
            for _ in range(3):
                scene.explain(**question)
        assert lines == []
        assert scene.take_snapshot() == snapshot
        assert len(scene.network.getDelayedCalls()) == timers
    assert [len(each.backend.calls) for each in scene.mesh.members] == sent


@pytest.mark.parametrize(
    "change",
    [
        lambda scene: scene.serve("/open/x"),
        lambda scene: scene.parts.generator.random(),
        lambda scene: scene.parts.splits.choose(scene.document.routes[2]),
        lambda scene: scene.parts.quotas.take("mill"),
        lambda scene: scene.parts.metrics.repeats.labels("deep").inc(),
        lambda scene: scene.parts.zone_log.count_send("deep", "z0"),
    ],
)
def test_the_snapshot_of_a_node_shows_each_change(scene, change):
    """Guards against a comparison that would hold in any case."""
    before = scene.take_snapshot()
    change(scene)
    assert scene.take_snapshot() != before


def test_priority_and_deadline_of_the_question_count(scene):
    assert scene.explain(account="free")["priority"] == 2
    assert scene.explain(account="mill", priority=5)["account"]["priority"] == 0
    assert scene.explain(account="free", priority=5)["priority"] == 5
    assert scene.explain("/open/x", priority=5)["admission"]["priority"] == 5
    explained = scene.explain("/open/x", deadline_ms=0)
    assert explained["refusal"]["reason"] == "expired"


def test_shows_the_shares_of_zones_with_their_reasons(scene):
    for _ in range(30):
        now_s = scene.parts.clock.now_s()
        for view in scene.parts.endpoints._services["deep"].values():
            if view.record.zone == "z0":
                view.note_reported_load(now_s, 40)
        scene.serve("/open/x")
        scene.network.run(0.1, step_s=0.05)
    explained = scene.explain("/open/x")
    (service,) = explained["services"]
    own, other = service["zones"]
    assert (own["zone"], own["is_own"]) == ("z0", True)
    assert own["share"] + other["share"] == pytest.approx(1.0)
    assert other["share"] > 0.0
    assert own["expected_ms"] > other["expected_ms"]
    assert other["reason"].startswith("faster than the own zone")
    assert {each["endpoint"] for each in service["endpoints"]} == {
        f"n-{number}" for number in range(1, 7)
    }


def test_shows_that_no_endpoint_of_the_own_zone_takes_requests(scene):
    now_s = scene.parts.clock.now_s()
    for view in scene.parts.endpoints._services["deep"].values():
        if view.record.zone == "z0":
            view.note_unreachable(now_s)
    scene.network.run(0.2)
    (service,) = scene.explain("/open/x")["services"]
    own, other = service["zones"]
    assert (own["share"], other["share"]) == (0.0, 1.0)
    assert own["reason"] == "no endpoint here takes requests"


# The answers on the metrics address.


@pytest.fixture
def port(scene):
    return explanation_scene.Port(scene)


def test_answers_in_json_on_the_metrics_address(port):
    status, body = port.get("/explain?method=GET&path=/read/x&account=free")
    assert status == 200
    explained = json.loads(body)
    assert explained["node"] == "n-0"
    assert explained["configuration_version"] == 1
    assert explained["route"]["name"] == "read"
    assert explained["chosen"] in {f"n-{number}" for number in range(1, 7)}
    status, body = port.get("/metrics")
    assert status == 200
    assert b"cranberrymux_requests" in body


@pytest.mark.parametrize(
    ("target", "method", "status", "error"),
    [
        ("/explain", "GET", 400, "bad-question"),
        ("/explain?path=x", "GET", 400, "bad-question"),
        ("/explain?path=/a%0d%0ab", "GET", 400, "bad-question"),
        ("/explain?path=/a&path=/b", "GET", 400, "bad-question"),
        ("/explain?path=/read/x&deadline_ms=soon", "GET", 400, "bad-question"),
        ("/explain?path=/read/x&priority=-1", "GET", 400, "bad-question"),
        ("/explain?path=/%ff", "GET", 400, "bad-question"),
        ("/explain?path=/" + "&a=1" * 20, "GET", 400, "bad-question"),
        ("/explain?path=/nothing", "GET", 404, "no-route"),
        ("/explain?path=/read/x&account=nobody", "GET", 404, "no-account"),
        ("/explain?path=/read/x", "POST", 404, None),
        ("/explained?path=/read/x", "GET", 404, None),
    ],
)
def test_says_what_is_wrong_with_a_question(
    port, target, method, status, error
):
    answered, body = port.get(target, method)
    assert answered == status
    assert (json.loads(body)["error"] if body else None) == error


def test_needs_a_host_where_the_configuration_has_several(scene, port):
    scene.document = scene.document._replace(
        routes=(
            *scene.document.routes,
            mesh_module.make_route("more", "deep", host="b.example"),
        )
    )
    text = route_document.dump(scene.document)
    scene.gateway.updates.configuration_changed(2, text)
    scene.network.run(0.1)
    status, body = port.get("/explain?path=/open/x")
    assert (status, json.loads(body)["error"]) == (400, "host-needed")
    status, _ = port.get(f"/explain?path=/open/x&host={mesh_module.HOST}")
    assert status == 200


@pytest.mark.parametrize(
    "query",
    [
        "path=/read/x&account=mill",
        f"path=/read/x&account={KEY}",
        f"path=/read/x&api_key={KEY}",
        f"path=/read/x?key={KEY}",
        f"path=/read/x&deadline_ms={KEY}",
    ],
)
def test_no_answer_and_no_line_holds_a_key(port, query):
    with structlog.testing.capture_logs() as lines:
        _, body = port.get(f"/explain?{query}")
    assert body
    assert KEY.encode() not in body
    assert lines == []
